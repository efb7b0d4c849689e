"""What control costs this host, and how far its drains have come."""

import time
from typing import NamedTuple

import falcon
from sardinewheel_core.codec import to_plain

from sardinewheel_entry.driver import Driver


class ControlView(NamedTuple):
    """Control traffic of a host since it started.

    Attributes:
        age_s: Seconds since it started.
        peers: Counts of messages and bytes between entry hosts.
        platform: Counts of calls of the platform.
        probes: Probe requests sent to targets.
    """

    age_s: float
    peers: dict[str, int]
    platform: dict[str, int]
    probes: int


class ControlResource:
    """``GET /v1/control``: control traffic so far."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with the counts."""
        driver = self.driver
        view = ControlView(
            age_s=time.monotonic() - driver.host.rollout.started_at,
            peers=driver.links.counters.as_dict(),
            platform=driver.platform.counters.as_dict(),
            probes=driver.prober.sent,
        )
        resp.media = view._asdict()


class DrainsResource:
    """``GET /v1/drains``: the drains that this host has a part in."""

    def __init__(self, driver: Driver):
        self.driver = driver

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with how far each has come."""
        drains = self.driver.host.drain_progress(time.monotonic())
        resp.media = to_plain(drains)
