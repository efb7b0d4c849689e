"""Chooses the host that takes over a request for which this one has no target.

Designed for the loss of the path to the targets at many hosts at once: the
others then get their requests beside their own, so each sender spreads them by
the size of the hosts and by what it has under way at each. Hosts of the same
region come first, as a hop to another one is slow and its links are shared by
all traffic.
"""

import random
from collections.abc import Iterable

from sardinewheel_gateway.policy.hosts import HostState, HostTable
from sardinewheel_gateway.policy.loads import LoadTable, TargetLoad

# Requests of this host that may be under way at one other host.
MAX_IN_FLIGHT = 64
SAMPLE_SIZE = 2
# Time for which a host is not asked again for a service that it refused.
REFUSAL_HOLD_S = 0.5
# Hosts that reach no target of a service either, after which this host asks no
# other one for a while.
MAX_REFUSING_HOSTS = 2


class PeerChoice:
    """Chooses among the other hosts.

    Attributes:
        host_table: State of all known hosts.
        loads: Requests under way at each host, and its failures, by name.
        refused_until: Time until which a host is not asked for a service, by
            its name and the service.
        refusing: Hosts that refused in a row, by service.
        held_until: Time until which no host is asked for a service.
    """

    def __init__(self, host_table: HostTable, rng: random.Random):
        self.host_table = host_table
        self.rng = rng
        self.loads = LoadTable()
        self.refused_until: dict[tuple[str, str], float] = {}
        self.refusing: dict[str, set[str]] = {}
        self.held_until: dict[str, float] = {}

    def choose(
        self,
        service: str,
        *,
        home_regions: frozenset[str],
        excluded: Iterable[str],
        now: float,
    ) -> HostState | None:
        """Returns the host to forward a request to, or None.

        Args:
            service: Service of the request.
            home_regions: Regions that the request may be sent to; all if
                empty.
            excluded: Names of hosts that it was already forwarded to.
            now: Seconds of the monotonic clock.
        """
        if now < self.held_until.get(service, now):
            return None
        usable = [
            host
            for host in self.host_table.live(now=now)[1:]
            if host.is_ready
            and host.reaches_targets
            and host.name not in excluded
            and (not home_regions or host.region in home_regions)
            and self._is_available(host.name, service, now)
        ]
        region = self.host_table.own.region
        near = [host for host in usable if host.region == region]
        return self._least_loaded(near or usable)

    def load(self, name: str) -> TargetLoad:
        """Returns the requests under way at a host, and its failures."""
        return self.loads.of(name)

    def record_answer(self, name: str, service: str, *, now: float) -> None:
        """Records that a host has handled a request of a service."""
        self.loads.of(name).record_response(is_error=False, now=now)
        self.refusing.pop(service, None)

    def record_refusal(
        self, name: str, service: str, *, has_no_target: bool, now: float
    ) -> None:
        """Records that a host can't handle requests of a service now.

        Args:
            name: Name of the host.
            service: The service.
            has_no_target: Whether it reaches no target of the service.
            now: Seconds of the monotonic clock.
        """
        until = now + REFUSAL_HOLD_S
        self.refused_until[name, service] = until
        if not has_no_target:
            return
        refusing = self.refusing.setdefault(service, set())
        refusing.add(name)
        if len(refusing) >= MAX_REFUSING_HOSTS:
            self.held_until[service] = until
            refusing.clear()

    def expire(self, *, now: float) -> None:
        """Drops what no longer holds."""
        self.refused_until = {
            key: until
            for key, until in self.refused_until.items()
            if now < until
        }
        known = self.host_table.peers
        for name in [x for x in self.loads.loads if x not in known]:
            self.loads.forget(name)

    def _is_available(self, name: str, service: str, now: float) -> bool:
        load = self.loads.of(name)
        is_refusing = now < self.refused_until.get((name, service), now)
        is_full = load.in_flight >= MAX_IN_FLIGHT
        return not (is_refusing or is_full or load.is_down(now))

    def _least_loaded(self, hosts: list[HostState]) -> HostState | None:
        """Returns the less loaded of two hosts drawn by their size."""
        if not hosts:
            return None
        sizes = [max(1, host.capacity) for host in hosts]
        drawn = self.rng.choices(hosts, sizes, k=SAMPLE_SIZE)
        return min(
            drawn,
            key=lambda host: (
                self.loads.of(host.name).in_flight / max(1, host.capacity)
            ),
        )
