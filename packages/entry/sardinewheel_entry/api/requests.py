"""Requests of callers, and requests that peers hand on."""

import time
import uuid

import falcon
from sardinewheel_core.request import Answer, Outcome, Request

from sardinewheel_entry import headers
from sardinewheel_entry.attempts import Payload
from sardinewheel_entry.driver import Driver
from sardinewheel_entry.http_exchange import HttpResponse

DEFAULT_DEADLINE_MS = 5000
MAX_BODY_BYTES = 1024 * 1024


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
