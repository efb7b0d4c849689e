"""Selects the recipients of heartbeats.

A heartbeat goes to a few hosts chosen at random, which pass on what it says, so
the traffic of a host does not grow with the fleet. Only the leading hosts of a
region, which may have to replace each other as followers of the store, send
each heartbeat to one another.
"""

import random

from sardinewheel_gateway.policy.hosts import HostState, HostTable
from sardinewheel_gateway.policy.store_followers import highest_ranked_hosts

# Number of live hosts of the region that receive a heartbeat.
RANDOM_RECIPIENTS = 3
# Number of leading hosts of each region; more than may follow the store at
# the same time.
LEADING_HOSTS = 6


def same_region_recipients(
    host_table: HostTable, rng: random.Random, *, now: float
) -> list[HostState]:
    """Returns the hosts of this region that receive the next heartbeat.

    One silent host is among them, if any, so that a network partition that
    has ended is noticed.

    Args:
        host_table: All known hosts.
        rng: Source of the random choice.
        now: Seconds of the monotonic clock.
    """
    live, silent = [], []
    for host in host_table.same_region_hosts():
        is_live = host_table.is_live(host, now=now)
        (live if is_live else silent).append(host)
    return _sample(live, RANDOM_RECIPIENTS, rng) + _sample(silent, 1, rng)


def leading_recipients(host_table: HostTable, *, now: float) -> list[HostState]:
    """Returns the other leading hosts if this host is one of them."""
    own = host_table.own
    leading = highest_ranked_hosts(
        host_table, own.region, LEADING_HOSTS, now=now
    )
    if own not in leading:
        return []
    return [host for host in leading if host != own]


def cross_region_recipients(
    host_table: HostTable, rng: random.Random
) -> list[HostState]:
    """Returns one random host of each other region, live or silent."""
    by_region: dict[str, list[HostState]] = {}
    for host in host_table.cross_region_hosts():
        by_region.setdefault(host.region, []).append(host)
    return [rng.choice(hosts) for hosts in by_region.values()]


def _sample(
    hosts: list[HostState], count: int, rng: random.Random
) -> list[HostState]:
    return rng.sample(hosts, min(count, len(hosts)))
