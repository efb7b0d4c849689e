"""Settings of a gateway process, and the state that it announces at first."""

from typing import NamedTuple

from sardinewheel_gateway import clock
from sardinewheel_gateway.policy.hosts import HostState
from sardinewheel_gateway.policy.routing_state import Bounds


class GatewaySettings(NamedTuple):
    """Settings of a gateway process.

    Attributes:
        name: Name of the host.
        domain: Failure domain of the host.
        region: Region of the host.
        regions: Region of each failure domain.
        front: ``host:port`` that serves callers' requests.
        readiness: ``host:port`` that serves readiness checks.
        lookup: ``host:port`` that serves look-ups of hosts by callers.
        control: ``host:port`` that serves updates to other hosts and that
            they list as a seed.
        metrics: ``host:port`` that serves metrics.
        gossip: ``host:port`` that receives datagrams from other hosts, and
            over TCP the requests that they forward.
        seeds: ``gossip`` addresses of other hosts, which may be stale.
        grace_s: Maximum seconds from the stop signal to process exit.
        max_lookup_ttl_s: Maximum seconds that callers may cache a look-up.
        store_silence_timeout_s: Seconds within which a silent store must be
            detected.
        bounds: Limits that apply to all hosts together.
        capacity: Relative size of the host; the largest hosts follow the store.
        log_level: Minimum level that is logged.
        advertised_ip: IP address at which other hosts reach ``gossip`` and
            ``control`` through a proxy; empty if there is no proxy.
    """

    name: str
    domain: str
    region: str
    regions: dict[str, str]
    front: str
    readiness: str
    lookup: str
    control: str
    metrics: str
    gossip: str
    seeds: tuple[str, ...]
    grace_s: float
    max_lookup_ttl_s: float
    store_silence_timeout_s: float
    bounds: Bounds
    capacity: int = 0
    log_level: str = "info"
    advertised_ip: str = ""


def first_own_state(settings: GatewaySettings) -> HostState:
    """Returns the state of a host that has just started."""
    return HostState(
        name=settings.name,
        incarnation=int(clock.wall() * 1000),
        sequence=0,
        front=settings.front,
        gossip=_advertised_address(settings.gossip, settings),
        control=_advertised_address(settings.control, settings),
        domain=settings.domain,
        region=settings.region,
        is_ready=False,
        capacity=settings.capacity,
    )


def _advertised_address(address: str, settings: GatewaySettings) -> str:
    """Returns the address at which other hosts reach ``address``."""
    if not settings.advertised_ip or not address:
        return address
    return f"{settings.advertised_ip}:{address.rpartition(':')[2]}"
