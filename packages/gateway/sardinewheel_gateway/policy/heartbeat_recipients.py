"""To which hosts a host sends each heartbeat.

In a small fleet it is all of them, each time. In a large one the hosts that
may read the store for their region still do so, since news and substitutes
hang on them; any other host reaches these each time and the rest by turns, so
that datagrams don't grow with the square of the hosts.
"""

from sardinewheel_gateway.policy.hosts import HostState, HostTable
from sardinewheel_gateway.policy.store_followers import highest_ranked_hosts

LARGE_REGION = 32
# Two in a row may be lost before a host counts as silent. Without a common
# divisor with the number of heartbeats from one whole state to the next.
MAX_TURNS = 3
LEADING_HOSTS = 4
# Hosts make themselves known to all before they send by turns.
START_HEARTBEATS = 30


def same_region_recipients(
    host_table: HostTable, beat: int, *, now: float
) -> list[HostState]:
    """Returns the hosts of the own region that get a heartbeat.

    Args:
        host_table: The hosts that are known.
        beat: Number of the heartbeat.
        now: Seconds of the steady clock.
    """
    near = host_table.near()
    turns = min(MAX_TURNS, -(-len(near) // LARGE_REGION))
    return _by_turns(host_table, near, beat, turns, now=now)


def cross_region_recipients(
    host_table: HostTable, beat: int, *, now: float
) -> list[HostState]:
    """Returns the hosts of other regions that get a far heartbeat.

    Args:
        host_table: The hosts that are known.
        beat: Number of the far heartbeat.
        now: Seconds of the steady clock.
    """
    far = host_table.far()
    turns = host_table.cross_region_turns()
    if host_table.own.sequence <= START_HEARTBEATS:
        turns = 1
    return _by_turns(host_table, far, beat, turns, now=now)


def _by_turns(
    host_table: HostTable,
    hosts: list[HostState],
    beat: int,
    turns: int,
    *,
    now: float,
) -> list[HostState]:
    if turns <= 1:
        return hosts
    regions = {host.region for host in (host_table.own, *hosts)}
    leading = {
        host.name
        for region in regions
        for host in highest_ranked_hosts(
            host_table, region, LEADING_HOSTS, now=now
        )
    }
    if host_table.own.name in leading:
        return hosts
    ordered = sorted(hosts, key=lambda host: host.name)
    return [
        host
        for place, host in enumerate(ordered)
        if host.name in leading or (place + beat) % turns == 0
    ]
