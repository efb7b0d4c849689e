"""Probes: a target's health and load, as far as it tells."""

import json
import time
from typing import Any

from sardinewheel_core.effects import ProbeCompleted
from sardinewheel_core.intent import Target

from sardinewheel_entry import headers, http_exchange
from sardinewheel_entry.http_exchange import Connections, HttpResponse

HEALTH_PATH = "/health"
LOAD_PATH = "/load"
ANSWER_TIMEOUT_S = 0.5
UNKNOWN_LOAD = -1
OK = 200


class Prober:
    """Asks targets for their health and load; never raises.

    Attributes:
        sent: Probe requests sent so far.
    """

    def __init__(self):
        self.connections = Connections()
        self.sent = 0

    def probe(self, target: Target) -> ProbeCompleted:
        """Returns what a target tells.

        A target without these endpoints counts as healthy; one that does not
        answer at all as not healthy.
        """
        health = self._get(target.address, HEALTH_PATH)
        if health is None:
            return ProbeCompleted(target.name, healthy=False)
        load = self._get(target.address, LOAD_PATH)
        return ProbeCompleted(
            target.name,
            healthy=_field(health, "healthy") is not False,
            in_flight=_in_flight(load),
            draining=_draining(health),
        )

    def _get(self, address: str, path: str) -> HttpResponse | None:
        self.sent += 1
        return http_exchange.call(
            self.connections,
            address,
            http_exchange.head_of("GET", path, address, {}, 0),
            now=time.monotonic(),
            timeout_s=ANSWER_TIMEOUT_S,
        )


def _field(response: HttpResponse | None, name: str) -> Any:
    """Returns a field of a JSON answer, or nothing."""
    if response is None or response.status != OK:
        return None
    try:
        plain = json.loads(response.body)
    except (ValueError, RecursionError):
        return None
    return plain.get(name) if isinstance(plain, dict) else None


def _in_flight(response: HttpResponse | None) -> int:
    in_flight = _field(response, "in_flight")
    is_count = isinstance(in_flight, int) and not isinstance(in_flight, bool)
    return in_flight if is_count and in_flight >= 0 else UNKNOWN_LOAD


def _draining(response: HttpResponse) -> bool | None:
    if headers.DRAINING.lower() in response.headers:
        return True
    draining = _field(response, "draining")
    return draining if isinstance(draining, bool) else None
