"""Selects the recipients of each heartbeat.

In a small fleet, every heartbeat goes to all hosts. In a large one, only the
leading hosts, which may read the store for their region, send to all, since
updates and the replacement of failed followers depend on them. Any other host
sends each heartbeat to the leading hosts and to the rest in round robin, so
that the number of datagrams does not grow with the square of the hosts.
"""

from sardinewheel_gateway.policy.hosts import HostState, HostTable
from sardinewheel_gateway.policy.store_followers import highest_ranked_hosts

# Number of hosts of this region per group, if that makes at most ``MAX_GROUPS``
# groups.
SAME_REGION_GROUP_SIZE = 32
# Maximum number of groups of hosts of a region; a heartbeat goes to one group,
# in round robin. With 3, two heartbeats in a row may be lost before the sender
# counts as silent. With this many groups, full states reach every host, since
# it is coprime with the number of heartbeats between two full states.
MAX_GROUPS = 3
# Number of leading hosts of each region.
LEADING_HOSTS = 4
# Number of initial heartbeats after which round robin begins across regions, so
# that each host first becomes known to all.
START_HEARTBEATS = 30


def same_region_recipients(
    host_table: HostTable, heartbeat_number: int, *, now: float
) -> list[HostState]:
    """Returns the hosts of this region that receive a heartbeat.

    Args:
        host_table: All known hosts.
        heartbeat_number: Number of the heartbeat.
        now: Seconds of the monotonic clock.
    """
    others = host_table.same_region_hosts()
    group_count = min(MAX_GROUPS, -(-len(others) // SAME_REGION_GROUP_SIZE))
    return _round_robin_recipients(
        host_table, others, heartbeat_number, group_count, now=now
    )


def cross_region_recipients(
    host_table: HostTable, heartbeat_number: int, *, now: float
) -> list[HostState]:
    """Returns the hosts of other regions that receive a heartbeat.

    Args:
        host_table: All known hosts.
        heartbeat_number: Number of the cross-region heartbeat.
        now: Seconds of the monotonic clock.
    """
    others = host_table.cross_region_hosts()
    group_count = host_table.cross_region_group_count()
    if host_table.own.sequence <= START_HEARTBEATS:
        group_count = 1
    return _round_robin_recipients(
        host_table, others, heartbeat_number, group_count, now=now
    )


def _round_robin_recipients(
    host_table: HostTable,
    hosts: list[HostState],
    heartbeat_number: int,
    group_count: int,
    *,
    now: float,
) -> list[HostState]:
    if group_count <= 1:
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
        for index, host in enumerate(ordered)
        if host.name in leading or (index + heartbeat_number) % group_count == 0
    ]
