"""The HTTP interface of an entry host, for callers, peers and operators."""

import time
import uuid

import falcon
from sardinewheel_core.change import Operation
from sardinewheel_core.codec import from_plain, to_plain
from sardinewheel_core.effects import ChangeProposed, ProposalState
from sardinewheel_core.errors import MessageError
from sardinewheel_core.messages import Phase
from sardinewheel_core.request import Answer, Outcome, Request

from sardinewheel_entry import headers
from sardinewheel_entry.attempts import Payload
from sardinewheel_entry.driver import Driver
from sardinewheel_entry.http_exchange import HttpResponse

DEFAULT_DEADLINE_MS = 5000
MAX_BODY_BYTES = 1024 * 1024


class LookupResource:
    """``GET /v1/lookup``: which entry hosts to use."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers a look-up."""
        answer = self.driver.host.look_up(
            time.monotonic(),
            service=req.get_param("service", required=True),
            block=req.get_param("block", default=""),
        )
        resp.media = {
            "hosts": [entry._asdict() for entry in answer.entries],
            "ttl_ms": int(answer.ttl_s * 1000),
        }


class RequestsResource:
    """``POST /v1/services/{service}/requests``: have a request executed."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, service: str
    ) -> None:
        """Executes a request and gives its final answer."""
        request = request_of(req, service)
        payload = Payload(
            path=req.get_header(headers.PATH, default="/"),
            content_type=req.content_type or "application/octet-stream",
            body=req.bounded_stream.read(MAX_BODY_BYTES),
        )
        answer, response = self.driver.serve(request, payload)
        give_answer(resp, answer, response)


class ChangesResource:
    """``POST /v1/changes``: change the intent."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Proposes a change and says how that ended."""
        plain = req.get_media()
        try:
            operations = tuple(
                from_plain(item, Operation, f"operations[{index}]")
                for index, item in enumerate(plain["operations"])
            )
        except MessageError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        ended = self.driver.propose(
            ChangeProposed(
                0,
                plain.get("change_id") or str(uuid.uuid4()),
                plain.get("author", ""),
                plain.get("base_version", 0),
                operations,
            )
        )
        resp.media = to_plain(ended)
        if ended.state is not ProposalState.ACCEPTED:
            resp.status = falcon.HTTP_409


class StatusResource:
    """``GET /v1/status``: what is in force on this host and who it sees."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with this host's view."""
        host = self.driver.host
        now = time.monotonic()
        resp.media = {
            "name": host.identity.name,
            "phase": str(host.phase),
            "ready": host.phase is Phase.READY,
            "intent": to_plain(host.configuration.intent),
            "hosts": [to_plain(s) for s in host.membership.alive(now)],
        }


def request_of(req: falcon.Request, service: str) -> Request:
    """Returns the request that HTTP headers describe."""
    deadline_ms = req.get_header_as_int(headers.DEADLINE_MS)
    if deadline_ms is None:
        deadline_ms = DEFAULT_DEADLINE_MS
    return Request(
        id=req.get_header(headers.REQUEST_ID) or str(uuid.uuid4()),
        service=service,
        kind=req.get_header(headers.KIND, default=""),
        weight=req.get_header_as_int(headers.WEIGHT) or 1,
        repeatable=req.get_header(headers.REPEATABLE) != "false",
        deadline=time.monotonic() + deadline_ms / 1000,
        block=req.get_header(headers.BLOCK, default=""),
        hops=req.get_header_as_int(headers.HOPS) or 0,
        delegated=req.get_header(headers.DELEGATED) == "true",
    )


def give_answer(
    resp: falcon.Response, answer: Answer, response: HttpResponse | None
) -> None:
    """Writes a final answer as an HTTP response."""
    resp.set_header(headers.REQUEST_ID, answer.request_id)
    resp.set_header(headers.OUTCOME, str(answer.outcome))
    if answer.outcome is Outcome.DONE:
        resp.status = answer.status
        if response is not None:
            resp.data = response.body
            resp.content_type = response.headers.get("content-type", "")
        return
    reason = answer.refusal.reason if answer.refusal else answer.reason
    resp.set_header(headers.REASON, str(reason))
    resp.media = {"outcome": str(answer.outcome), "reason": str(reason)}
    if answer.outcome is Outcome.NOT_RUN:
        resp.status = falcon.HTTP_503
        after_s = answer.refusal.retry_after_s
        resp.set_header(headers.RETRY_AFTER_MS, str(int(after_s * 1000)))
        resp.set_header(headers.RETRY_AT, ",".join(answer.refusal.retry_at))
    else:
        resp.status = falcon.HTTP_504


def create_app(driver: Driver) -> falcon.App:
    """Returns the WSGI application of an entry host."""
    app = falcon.App()
    app.add_route("/v1/lookup", LookupResource(driver))
    app.add_route("/v1/services/{service}/requests", RequestsResource(driver))
    app.add_route("/v1/changes", ChangesResource(driver))
    app.add_route("/v1/status", StatusResource(driver))
    return app
