"""Resource for the control traffic of this host."""

import time
from typing import NamedTuple

import falcon

from sardinewheel_entry.driver import Driver


class ControlView(NamedTuple):
    """Control traffic of a host since its start.

    Attributes:
        age_s: Time since the start of the host, in seconds.
        peers: Counts of messages and bytes between entry hosts.
        platform: Counts of calls to the platform.
        probes: Number of probe requests to targets.
    """

    age_s: float
    peers: dict[str, int]
    platform: dict[str, int]
    probes: int


class ControlResource:
    """``GET /v1/control``: control traffic since the start of the host."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Responds with the counts."""
        driver = self.driver
        view = ControlView(
            age_s=time.monotonic() - driver.host.rollout.started_at,
            peers=driver.links.counters.as_dict(),
            platform=driver.platform.counters.as_dict(),
            probes=driver.prober.sent,
        )
        resp.media = view._asdict()
