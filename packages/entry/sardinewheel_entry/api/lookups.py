"""Look-ups: which entry hosts a caller should use."""

import time

import falcon
from sardinewheel_core.errors import Finding, RequestError

from sardinewheel_entry.driver import Driver

MAX_LOOKUPS = 1000


class LookupResource:
    """``GET /v1/lookup``: which entry hosts to use."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers a look-up."""
        service = req.get_param("service")
        if not service:
            finding = Finding("service", "nothing", "the name of a service")
            raise RequestError((finding,))
        block = req.get_param("block", default="")
        resp.media = look_up(self.driver, service, block)


class LookupsResource:
    """``POST /v1/lookups``: many look-ups in one request."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers look-ups in the order they were asked."""
        asked = _check(req.get_media())
        resp.media = {
            "answers": [
                look_up(self.driver, item["service"], item.get("block", ""))
                for item in asked
            ]
        }


def look_up(driver: Driver, service: str, block: str) -> dict:
    """Returns the answer to one look-up."""
    now = time.monotonic()
    answer = driver.host.look_up(now, service=service, block=block)
    return {
        "hosts": [entry._asdict() for entry in answer.entries],
        "ttl_ms": int(answer.ttl_s * 1000),
    }


def _check(media) -> list[dict]:
    items = media.get("lookups") if isinstance(media, dict) else None
    if not isinstance(items, list) or len(items) > MAX_LOOKUPS:
        expected = f"a list of up to {MAX_LOOKUPS} look-ups"
        raise RequestError((Finding("lookups", repr(items)[:80], expected),))
    expected = "a map with texts service and, if wanted, block"
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
