"""The hosts that callers are directed to."""

from sardinewheel_gateway.policy.entry_hosts import (
    MIN_LARGE_HOSTS,
    entry_hosts,
)

from tests.gateway.policy.test_hosts import state

LARGE = 200
SMALL = 10


def region(large, small):
    hosts = [state(f"large{n}", capacity=LARGE) for n in range(large)]
    return hosts + [state(f"small{n}", capacity=SMALL) for n in range(small)]


def named(hosts, limit=64):
    return entry_hosts(hosts, region="north", limit=limit)


def test_callers_are_directed_to_ready_hosts_of_their_region():
    hosts = [
        state("a"),
        state("b", is_ready=False),
        state("c", region="south"),
    ]
    assert entry_hosts(hosts, region="north", limit=64) == ["a:80"]
    assert entry_hosts(hosts, region="east", limit=64) == ["a:80", "c:80"]


def test_callers_are_directed_to_the_large_hosts():
    hosts = region(MIN_LARGE_HOSTS, 20)
    assert named(hosts) == ["large0:80", "large1:80", "large2:80"]


def test_small_hosts_are_used_while_few_large_ones_are_ready():
    hosts = region(MIN_LARGE_HOSTS, 20)
    hosts[0] = hosts[0]._replace(is_ready=False)
    assert len(named(hosts)) == MIN_LARGE_HOSTS - 1 + 20


def test_hosts_of_similar_size_are_all_used():
    hosts = [state(f"h{n}", capacity=50 + n) for n in range(11)]
    assert len(named(hosts)) == 11
    assert len(named([state(f"h{n}") for n in range(11)])) == 11


def test_the_largest_hosts_are_named_if_there_are_too_many():
    hosts = region(2, 100)
    assert named(hosts)[:2] == ["large0:80", "large1:80"]
    assert len(named(hosts)) == 64


def without_path(host):
    return host._replace(reaches_targets=False)


def test_callers_are_not_directed_to_hosts_that_reach_no_target():
    hosts = [state("a"), without_path(state("b")), state("c", region="south")]
    assert named(hosts) == ["a:80"]


def test_callers_go_to_other_regions_if_no_host_of_theirs_reaches_targets():
    hosts = [without_path(state("a")), state("c", region="south")]
    assert named(hosts) == ["c:80"]


def test_few_hosts_that_reach_targets_share_callers_with_other_regions():
    hosts = [without_path(state(f"a{n}")) for n in range(9)]
    hosts += [state("b"), state("c", region="south")]
    assert named(hosts) == ["b:80", "c:80"]


def test_hosts_without_a_path_are_named_if_no_other_host_is_ready():
    hosts = [without_path(state("a")), without_path(state("b"))]
    assert named(hosts) == ["a:80", "b:80"]
