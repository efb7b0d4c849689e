"""Recipients of heartbeats in small and large regions."""

import random
from collections import Counter

from sardinewheel_gateway.policy.heartbeat_recipients import (
    LEADING_HOSTS,
    RANDOM_RECIPIENTS,
    cross_region_recipients,
    leading_recipients,
    same_region_recipients,
)
from sardinewheel_gateway.policy.hosts import SAME_REGION_SILENCE_S, HostTable
from sardinewheel_gateway.policy.store_followers import highest_ranked_hosts

from tests.gateway.policy.test_hosts import state

NOW = 100.0
REGION = "north"


def region_table(own, count):
    """Returns the host table of one of ``count`` hosts of a region."""
    host_table = HostTable(state(f"h{own:03}"))
    for number in range(count):
        host_table.record_heartbeat(state(f"h{number:03}"), now=NOW)
    for number in range(5):
        for region in ("east", "south"):
            far = state(f"{region}-{number}", region=region)
            host_table.record_heartbeat(far, now=NOW)
    return host_table


def names(hosts):
    return [host.name for host in hosts]


def leading_names(count):
    first = highest_ranked_hosts(
        region_table(0, count), REGION, LEADING_HOSTS, now=NOW
    )
    return names(first)


def test_small_region_sends_each_heartbeat_to_all_hosts():
    host_table = region_table(0, RANDOM_RECIPIENTS + 1)
    chosen = same_region_recipients(host_table, random.Random(1), now=NOW)
    assert sorted(names(chosen)) == ["h001", "h002", "h003"]


def test_large_region_sends_heartbeats_to_random_hosts():
    host_table = region_table(0, 200)
    rng = random.Random(1)
    counts = Counter()
    for _ in range(2000):
        chosen = names(same_region_recipients(host_table, rng, now=NOW))
        assert len(chosen) == len(set(chosen)) == RANDOM_RECIPIENTS
        counts.update(chosen)
    assert len(counts) == 199
    assert max(counts.values()) < 3 * min(counts.values())


def test_one_silent_host_receives_each_heartbeat():
    host_table = region_table(0, 10)
    silent_at = NOW - SAME_REGION_SILENCE_S - 1.0
    for name in ("h001", "h002"):
        host_table.peers[name].last_heartbeat_at = silent_at
    rng = random.Random(1)
    chosen = set()
    for _ in range(50):
        recipients = names(same_region_recipients(host_table, rng, now=NOW))
        assert len(recipients) == RANDOM_RECIPIENTS + 1
        chosen |= {"h001", "h002"} & set(recipients)
    assert chosen == {"h001", "h002"}


def test_leading_hosts_send_each_heartbeat_to_each_other():
    first = leading_names(200)
    for name in first:
        host_table = region_table(int(name[1:]), 200)
        recipients = names(leading_recipients(host_table, now=NOW))
        assert sorted(recipients) == sorted(set(first) - {name})


def test_other_host_sends_none_as_a_leading_host():
    first = leading_names(200)
    own = next(n for n in range(200) if f"h{n:03}" not in first)
    assert leading_recipients(region_table(own, 200), now=NOW) == []


def test_silent_host_does_not_lead():
    host_table = region_table(0, 200)
    first = highest_ranked_hosts(host_table, REGION, LEADING_HOSTS, now=NOW)
    silent = next(host for host in first if host != host_table.own)
    host_table.peers[silent.name].last_heartbeat_at = NOW - 60.0
    assert silent not in highest_ranked_hosts(
        host_table, REGION, LEADING_HOSTS, now=NOW
    )


def test_one_host_of_each_other_region_receives_a_heartbeat():
    host_table = region_table(0, 10)
    rng = random.Random(1)
    counts = Counter()
    for _ in range(200):
        chosen = cross_region_recipients(host_table, rng)
        assert sorted(host.region for host in chosen) == ["east", "south"]
        counts.update(names(chosen))
    assert len(counts) == 10
