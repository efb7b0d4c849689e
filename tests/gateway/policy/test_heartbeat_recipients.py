"""Recipients of heartbeats in small and large regions."""

from collections import Counter

from sardinewheel_gateway.policy.heartbeat_recipients import (
    LEADING_HOSTS,
    MAX_GROUPS,
    SAME_REGION_GROUP_SIZE,
    START_HEARTBEATS,
    cross_region_recipients,
    same_region_recipients,
)
from sardinewheel_gateway.policy.hosts import (
    CROSS_REGION_EVERY,
    CROSS_REGION_GROUP_SIZE,
    CROSS_REGION_INTERVAL_S,
    CROSS_REGION_SILENCE_S,
    HostTable,
)
from sardinewheel_gateway.policy.store_followers import highest_ranked_hosts

from tests.gateway.policy.test_hosts import state

NOW = 100.0
REGION = "north"


def region_table(own, count):
    """Returns the host table of one of ``count`` hosts of a region."""
    host_table = HostTable(state(f"h{own:03}"))
    for number in range(count):
        host_table.record_heartbeat(state(f"h{number:03}"), now=NOW)
    host_table.record_heartbeat(state("far", region="south"), now=NOW)
    return host_table


def names(hosts):
    return [host.name for host in hosts]


def leading_names(count):
    return names(
        highest_ranked_hosts(
            region_table(0, count), REGION, LEADING_HOSTS, now=NOW
        )
    )


def count_heartbeats(host_table, heartbeats=MAX_GROUPS * 3):
    """Returns the number of heartbeats that each host receives."""
    return Counter(
        name
        for heartbeat in range(heartbeats)
        for name in names(
            same_region_recipients(host_table, heartbeat, now=NOW)
        )
    )


def test_small_region_sends_each_heartbeat_to_all_hosts():
    host_table = region_table(0, SAME_REGION_GROUP_SIZE)
    assert set(count_heartbeats(host_table, 3).values()) == {3}
    assert "far" not in count_heartbeats(host_table)


def test_large_region_sends_at_least_every_third_heartbeat_to_each_host():
    first = leading_names(200)
    own = next(n for n in range(200) if f"h{n:03}" not in first)
    counts = count_heartbeats(region_table(own, 200), MAX_GROUPS * 3)
    assert len(counts) == 199
    for name, count in counts.items():
        assert count == (MAX_GROUPS * 3 if name in first else 3)


def test_leading_host_sends_each_heartbeat_to_all_hosts():
    own = int(leading_names(200)[0][1:])
    counts = count_heartbeats(region_table(own, 200), 4)
    assert set(counts.values()) == {4}
    assert len(counts) == 199


def test_round_robin_sends_full_states_to_every_host():
    first = leading_names(200)
    own = next(n for n in range(200) if f"h{n:03}" not in first)
    host_table = region_table(own, 200)
    recipients = [
        same_region_recipients(host_table, n, now=NOW)
        for n in range(0, 100, CROSS_REGION_EVERY)
    ]
    assert len({name for hosts in recipients for name in names(hosts)}) == 199


def test_silent_host_does_not_lead():
    host_table = region_table(0, 200)
    first = highest_ranked_hosts(host_table, REGION, LEADING_HOSTS, now=NOW)
    silent = next(host for host in first if host != host_table.own)
    peer = host_table.peers[silent.name]
    host_table.peers[silent.name] = peer._replace(last_heartbeat_at=NOW - 60.0)
    assert silent not in highest_ranked_hosts(
        host_table, REGION, LEADING_HOSTS, now=NOW
    )


def test_datagrams_of_a_region_of_100_hosts_stay_bounded():
    datagrams = sum(
        len(same_region_recipients(region_table(own, 100), heartbeat, now=NOW))
        for own in range(100)
        for heartbeat in range(MAX_GROUPS)
    )
    mean = datagrams / MAX_GROUPS / 100
    # 2.5 heartbeats per second of 73 bytes with headers: 7 KB/s per host.
    assert mean * 2.5 * 73 < 7000


def three_region_table(own, count, *, sequence=START_HEARTBEATS + 1):
    """Returns the host table of one of ``count`` hosts per region, of three."""
    host_table = HostTable(state(f"north-{own:03}", sequence=sequence))
    for region in ("north", "east", "south"):
        for number in range(count):
            host = state(f"{region}-{number:03}", region=region)
            host_table.record_heartbeat(host, now=NOW)
    return host_table


def non_leading_number(host_table):
    """Returns the number of a host of the region that does not lead."""
    first = highest_ranked_hosts(host_table, REGION, LEADING_HOSTS, now=NOW)
    leading = names(first)
    return next(
        number for number in range(100) if f"north-{number:03}" not in leading
    )


def test_small_fleet_sends_each_cross_region_heartbeat_to_all():
    host_table = three_region_table(0, CROSS_REGION_GROUP_SIZE // 2)
    assert (
        len(cross_region_recipients(host_table, 0, now=NOW))
        == CROSS_REGION_GROUP_SIZE
    )


def test_large_fleet_sends_cross_region_heartbeats_in_round_robin():
    host_table = three_region_table(
        non_leading_number(three_region_table(0, 100)), 100
    )
    group_count = host_table.cross_region_group_count()
    counts = Counter(
        name
        for heartbeat in range(group_count)
        for name in names(
            cross_region_recipients(host_table, heartbeat, now=NOW)
        )
    )
    assert group_count == 4
    assert len(counts) == 200
    assert sum(counts.values()) < 200 + group_count * LEADING_HOSTS * 2


def test_host_that_has_just_started_sends_to_all():
    host_table = three_region_table(
        non_leading_number(three_region_table(0, 100)), 100, sequence=1
    )
    assert len(cross_region_recipients(host_table, 0, now=NOW)) == 200


def test_hosts_in_round_robin_count_as_live_between_heartbeats():
    host_table = three_region_table(0, 100)
    later = NOW + CROSS_REGION_SILENCE_S + CROSS_REGION_INTERVAL_S
    for region in ("north", "east"):
        host_table.record_heartbeat(
            state(f"{region}-001", region=region, sequence=9), now=later
        )
    live = Counter(host.region for host in host_table.live(now=later))
    # No heartbeat came from the south, so none of its hosts counts as live.
    assert live == {"north": 2, "east": 100}
