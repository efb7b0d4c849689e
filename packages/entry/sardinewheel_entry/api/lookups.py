"""Resources for look-ups of the entry hosts that a caller should use."""

import time

import falcon
from sardinewheel_core.errors import Finding, RequestError

from sardinewheel_entry.driver import Driver

MAX_LOOKUPS = 1000


class LookupResource:
    """``GET /v1/lookup``: entry hosts to use for a service."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds to one look-up."""
        service = req.get_param("service")
        if not service:
            finding = Finding("service", "nothing", "the name of a service")
            raise RequestError((finding,))
        block = req.get_param("block", default="")
        resp.media = look_up(self.driver, service, block)


class LookupsResource:
    """``POST /v1/lookups``: a batch of look-ups."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds to the look-ups in the order of the request."""
        lookups = _validate_lookups(req.get_media())
        resp.media = {
            "answers": [
                look_up(self.driver, item["service"], item.get("block", ""))
                for item in lookups
            ]
        }


def look_up(driver: Driver, service: str, block: str) -> dict:
    """Returns the answer to one look-up as a JSON object."""
    now = time.monotonic()
    answer = driver.host.look_up(now, service=service, block=block)
    return {
        "hosts": [entry._asdict() for entry in answer.entries],
        "ttl_ms": int(answer.ttl_s * 1000),
    }


def _validate_lookups(media) -> list[dict]:
    items = media.get("lookups") if isinstance(media, dict) else None
    if not isinstance(items, list) or len(items) > MAX_LOOKUPS:
        expected = f"a list of up to {MAX_LOOKUPS} look-ups"
        raise RequestError((Finding("lookups", repr(items)[:80], expected),))
    expected = "an object with a string service and an optional string block"
    findings = tuple(
        Finding(f"lookups[{index}]", repr(item)[:80], expected)
        for index, item in enumerate(items)
        if not _is_lookup(item)
    )
    if findings:
        raise RequestError(findings)
    return items


def _is_lookup(item) -> bool:
    return (
        isinstance(item, dict)
        and isinstance(item.get("service"), str)
        and isinstance(item.get("block", ""), str)
    )
