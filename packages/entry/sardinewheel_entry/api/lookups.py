"""Look-ups: which entry hosts a caller should use."""

import time

import falcon

from sardinewheel_entry.driver import Driver


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
