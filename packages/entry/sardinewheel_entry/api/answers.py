"""Writes final answers as HTTP responses."""

import falcon
from sardinewheel_core.request import Answer, Outcome

from sardinewheel_entry import headers
from sardinewheel_entry.http_exchange import HttpResponse
from sardinewheel_entry.metrics import reason_of

NOT_KEPT = "not-kept"
HOP_BY_HOP = frozenset(
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


def give_answer(
    resp: falcon.Response, answer: Answer, response: HttpResponse | None
) -> None:
    """Writes an answer; one that is done carries the target's response."""
    resp.set_header(headers.REQUEST_ID, answer.request_id)
    resp.set_header(headers.OUTCOME, str(answer.outcome))
    if answer.outcome is Outcome.DONE:
        _give_response(resp, answer, response)
        return
    reason = str(reason_of(answer))
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


def _give_response(
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
        if name not in HOP_BY_HOP:
            _set_header(resp, name, value)
    if response.rest is None:
        resp.data = response.body
        return
    resp.stream = _Stream(response)
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


class _Stream:
    """A response body that is passed on while it arrives."""

    def __init__(self, response: HttpResponse):
        self.response = response

    def __iter__(self):
        yield self.response.body
        yield from self.response.rest

    def close(self) -> None:
        """Called when the caller is gone or has the whole body."""
        self.response.rest.close()
