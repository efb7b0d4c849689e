"""Converts answers to HTTP responses."""

import falcon
from sardinewheel_core.request import Answer, Outcome

from sardinewheel_entry import headers
from sardinewheel_entry.http_exchange import HttpResponse
from sardinewheel_entry.metrics import answer_reason

NOT_KEPT = "not-kept"
UNFORWARDED_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
        headers.DRAINING.lower(),
        headers.OUTCOME.lower(),
        headers.REQUEST_ID.lower(),
    )
)


def write_answer(
    resp: falcon.Response, answer: Answer, response: HttpResponse | None
) -> None:
    """Writes an answer, with the target's response if the outcome is "done"."""
    resp.set_header(headers.REQUEST_ID, answer.request_id)
    resp.set_header(headers.OUTCOME, str(answer.outcome))
    if answer.outcome is Outcome.DONE:
        _write_response(resp, answer, response)
        return
    reason = str(answer_reason(answer))
    resp.set_header(headers.REASON, reason)
    resp.media = {"outcome": str(answer.outcome), "reason": reason}
    if answer.outcome is Outcome.NOT_RUN:
        resp.status = falcon.HTTP_503
        after_s = answer.refusal.retry_after_s
        resp.set_header(headers.RETRY_AFTER_MS, str(int(after_s * 1000)))
        resp.set_header(headers.RETRY_AT, ",".join(answer.refusal.retry_at))
    elif answer.outcome is Outcome.PENDING:
        resp.status = falcon.HTTP_202
    else:
        resp.status = falcon.HTTP_504


def _write_response(
    resp: falcon.Response, answer: Answer, response: HttpResponse | None
) -> None:
    if response is None:
        resp.status = falcon.HTTP_410
        resp.set_header(headers.RESPONSE, NOT_KEPT)
        resp.media = {
            "outcome": str(answer.outcome),
            "status": answer.status,
            "response": NOT_KEPT,
        }
        return
    resp.status = response.status
    for name, value in response.headers.items():
        if name not in UNFORWARDED_HEADERS:
            _set_header(resp, name, value)
    if response.remaining_body is None:
        resp.data = response.body
        return
    resp.stream = _ResponseStream(response)
    length = response.headers.get("content-length")
    if length is not None:
        resp.content_length = int(length)


def _set_header(resp: falcon.Response, name: str, value) -> None:
    values = value if isinstance(value, list) else [value]
    for item in values:
        if name == "set-cookie":
            resp.append_header(name, item)
        else:
            resp.set_header(name, item)


class _ResponseStream:
    """A response body that is forwarded while it is received."""

    def __init__(self, response: HttpResponse):
        self.response = response

    def __iter__(self):
        yield self.response.body
        yield from self.response.remaining_body

    def close(self) -> None:
        """Stops reading; called when the caller has the body or disconnects."""
        self.response.remaining_body.close()
