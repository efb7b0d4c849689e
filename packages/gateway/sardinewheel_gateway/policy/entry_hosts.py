"""Selects the hosts that callers send their requests to.

Designed for regions with a few large hosts and many small ones. Callers choose
among the named hosts at random, so each named host gets the same load, and a
host with a small link delays what a large one would pass on at once. Few hosts
also reuse their connections to targets, and know better how loaded these are.
"""

from sardinewheel_gateway.policy.hosts import HostState

# A host is large from this fraction of the capacity of the largest one on.
LARGE_FRACTION = 0.25
# With fewer large hosts, the loss of one would affect too many callers.
MIN_LARGE_HOSTS = 3
# With a smaller share of a region's capacity at hosts that reach targets, their
# callers are also sent to other regions.
MIN_REACHING_SHARE = 0.25


def entry_hosts(
    hosts: list[HostState], *, region: str, limit: int
) -> list[str]:
    """Returns the addresses to which callers of a region send requests.

    Args:
        hosts: Live hosts.
        region: Region of the caller; without ready hosts in it, those of all
            regions are considered.
        limit: Maximum number of addresses.
    """
    ready = [host for host in hosts if host.is_ready]
    local = [host for host in ready if host.region == region]
    chosen = _large_hosts(_reaching_hosts(local, ready) or local or ready)
    chosen.sort(key=lambda host: (-host.capacity, host.name))
    return [host.front for host in chosen[:limit]]


def _reaching_hosts(
    local: list[HostState], ready: list[HostState]
) -> list[HostState]:
    """Returns the hosts that reach targets, of the region if it has enough.

    Args:
        local: Ready hosts of the region.
        ready: Ready hosts of all regions.
    """
    reaching = [host for host in local if host.reaches_targets]
    if reaching and _capacity(reaching) >= MIN_REACHING_SHARE * _capacity(
        local
    ):
        return reaching
    return [host for host in ready if host.reaches_targets]


def _capacity(hosts: list[HostState]) -> int:
    return sum(max(1, host.capacity) for host in hosts)


def _large_hosts(hosts: list[HostState]) -> list[HostState]:
    """Returns the large hosts, or all if there are too few large ones."""
    largest = max((host.capacity for host in hosts), default=0)
    large = [
        host for host in hosts if host.capacity >= LARGE_FRACTION * largest
    ]
    return large if len(large) >= MIN_LARGE_HOSTS else hosts
