"""Resource for the outcome and the cancellation of a request."""

import time

import falcon
from sardinewheel_core import claims
from sardinewheel_core.effects import ReadRows
from sardinewheel_core.messages import HostState
from sardinewheel_core.request import Answer, Outcome, Reason
from sardinewheel_core.ticket import Ticket

from sardinewheel_entry import headers, http_exchange
from sardinewheel_entry.api.answers import write_answer
from sardinewheel_entry.api.request_headers import check_request_id
from sardinewheel_entry.attempts import request_path
from sardinewheel_entry.driver import Driver
from sardinewheel_entry.http_exchange import HttpResponse

PEER_TIMEOUT_S = 2.0


class OutcomeResource:
    """``/v1/requests/{request_id}``: reports the outcome or cancels."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        """Responds with the outcome of a request."""
        check_request_id(request_id)
        self._respond(req, resp, request_id)

    def on_delete(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        """Cancels a request and responds with its outcome."""
        check_request_id(request_id)
        found = self._find_outcome(request_id)
        is_local = isinstance(found, Answer)
        if is_local:
            self.driver.cancel(request_id)
        self._respond(req, resp, request_id)

    def _respond(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        found = self._find_outcome(request_id)
        if isinstance(found, HostState):
            self._forward_to_owner(req, resp, request_id, found)
            return
        if found.reason is Reason.NOT_SEEN and request_id in (
            self.driver.host.in_progress
        ):
            found = Answer(request_id, Outcome.PENDING)
        response = self.driver.responses.get(found.attempt_id)
        write_answer(resp, found, response)

    def _find_outcome(self, request_id: str) -> Answer | HostState:
        now = time.monotonic()
        found = self.driver.host.find_outcome(now, request_id)
        is_unseen = isinstance(found, Answer) and (
            found.reason is Reason.NOT_SEEN
        )
        if not is_unseen or Ticket.of_request(request_id) is not None:
            return found
        return self._find_claiming_host(now, request_id) or found

    def _find_claiming_host(
        self, now: float, request_id: str
    ) -> HostState | None:
        """Returns the other live host that claimed a request id, if any.

        Ids without a ticket are claimed in the platform's table.
        """
        key = claims.claim_key(request_id)
        read = self.driver.platform.read(ReadRows(0, (key,)))
        for _, version, value in read.rows:
            row = claims.decode_row(value) if version else None
            if row is not None and row.owner != self.driver.host.owner:
                return self.driver.host.live_owner(now, row.owner)
        return None

    def _forward_to_owner(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        request_id: str,
        state: HostState,
    ) -> None:
        response = None
        if not req.get_header(headers.HOPS):
            response = self._call_owner(
                req.method, request_id, state.http_address
            )
        outcome = response and response.headers.get(headers.OUTCOME.lower())
        if not outcome:
            reason = Reason.OWNER_UNREACHABLE
            answer = Answer(request_id, Outcome.UNKNOWN, reason=reason)
            write_answer(resp, answer, None)
            return
        answer = Answer(request_id, Outcome.DONE, status=response.status)
        write_answer(resp, answer, response)
        resp.set_header(headers.OUTCOME, outcome)

    def _call_owner(
        self, method: str, request_id: str, address: str
    ) -> HttpResponse | None:
        head = http_exchange.encode_request_head(
            method,
            request_path(request_id),
            address,
            {headers.HOPS: "1"},
            0,
        )
        return http_exchange.call(
            self.driver.attempts.connections,
            address,
            head,
            now=time.monotonic(),
            timeout_s=PEER_TIMEOUT_S,
        )
