"""Probes of targets for health and load."""

import time
from typing import Any

from sardinewheel_core.codec import load_json
from sardinewheel_core.effects import ProbeCompleted
from sardinewheel_core.errors import MessageError
from sardinewheel_core.intent import Target

from sardinewheel_entry import headers, http_exchange
from sardinewheel_entry.http_exchange import ConnectionPool, HttpResponse

HEALTH_PATH = "/health"
LOAD_PATH = "/load"
PROBE_TIMEOUT_S = 0.5
UNKNOWN_LOAD = -1
OK = 200


class Prober:
    """Queries targets for health and load; never raises.

    Attributes:
        connections: Pooled connections to targets.
        sent: Number of probe requests.
    """

    def __init__(self):
        self.connections = ConnectionPool()
        self.sent = 0

    def probe(self, target: Target) -> ProbeCompleted:
        """Returns the health and load that a target reports.

        A target that responds without these endpoints counts as healthy; one
        that does not respond counts as unhealthy.
        """
        health = self._get(target.address, HEALTH_PATH)
        if health is None:
            return ProbeCompleted(target.name, healthy=False)
        load = self._get(target.address, LOAD_PATH)
        return ProbeCompleted(
            target.name,
            healthy=_json_field(health, "healthy") is not False,
            in_flight=_reported_in_flight(load),
            draining=_reported_draining(health),
        )

    def _get(self, address: str, path: str) -> HttpResponse | None:
        self.sent += 1
        return http_exchange.call(
            self.connections,
            address,
            http_exchange.encode_request_head("GET", path, address, {}, 0),
            now=time.monotonic(),
            timeout_s=PROBE_TIMEOUT_S,
        )


def _json_field(response: HttpResponse | None, name: str) -> Any:
    """Returns a field of a JSON response, or ``None`` if absent."""
    if response is None or response.status != OK:
        return None
    try:
        plain = load_json(response.body)
    except MessageError:
        return None
    return plain.get(name) if isinstance(plain, dict) else None


def _reported_in_flight(response: HttpResponse | None) -> int:
    in_flight = _json_field(response, "in_flight")
    is_count = isinstance(in_flight, int) and not isinstance(in_flight, bool)
    return in_flight if is_count and in_flight >= 0 else UNKNOWN_LOAD


def _reported_draining(response: HttpResponse) -> bool | None:
    if headers.DRAINING.lower() in response.headers:
        return True
    draining = _json_field(response, "draining")
    return draining if isinstance(draining, bool) else None
