"""Share changes: reductions take effect before increases."""

from sardinewheel_core.allowance import QUARANTINE_S, shares_of
from sardinewheel_core.change import DefineSeat, SetCap
from sardinewheel_core.intent import Intent, Region, Seat

from tests.core.loaded_cluster import CAP, DOMAINS, LoadedCluster


def share(cluster, name):
    return cluster.hosts[name].allowance.share


def test_shares_add_up_to_the_cap():
    seats = {n: Seat(n, "centro") for n in "abcdefg"}
    intent = Intent.empty()._replace(
        regions={"austro": Region("austro", 16, ("centro",))}, seats=seats
    )
    assert sum(shares_of(intent, "centro").values()) == 16
    assert shares_of(intent, "elsewhere") == {}


def test_a_new_seat_waits_until_the_other_shares_are_lowered_and_drained():
    cluster = LoadedCluster(seats=("a-1",))
    cluster.service_time_range_s = (9.9, 9.9)
    cluster.loaded_hosts = set(DOMAINS)
    cluster.run(1.0)
    assert cluster.in_flight() == CAP
    cluster.propose("a-1", "c2", DefineSeat(Seat("a-2", "centro")))
    cluster.run(2.0)
    assert (share(cluster, "a-1"), share(cluster, "a-2")) == (CAP // 2, 0)
    cluster.run(QUARANTINE_S + 2.0)
    assert share(cluster, "a-2") == CAP // 2
    assert cluster.max_in_flight <= CAP


def test_an_isolated_seat_that_missed_the_change_holds_back_the_others():
    cluster = LoadedCluster(seats=("a-1",))
    cluster.loaded_hosts = set(DOMAINS)
    cluster.is_link_cut = lambda a, b: "a-1" in (a, b)
    cluster.is_platform_unreachable = lambda name: name == "a-1"
    cluster.propose("b-1", "c2", DefineSeat(Seat("a-2", "centro")))
    cluster.run(3 * QUARANTINE_S)
    assert (share(cluster, "a-1"), share(cluster, "a-2")) == (CAP, 0)
    assert cluster.max_in_flight <= CAP
    cluster.is_link_cut = lambda a, b: False
    cluster.is_platform_unreachable = lambda name: False
    cluster.run(QUARANTINE_S + 5.0)
    assert (share(cluster, "a-1"), share(cluster, "a-2")) == (
        CAP // 2,
        CAP // 2,
    )


def test_a_higher_cap_that_lowers_no_share_is_used_at_once():
    cluster = LoadedCluster()
    cluster.propose("a-1", "c2", SetCap("austro", 2 * CAP))
    cluster.run(2.0)
    assert [share(cluster, name) for name in DOMAINS] == [8, 8, 8]


def test_a_new_host_learns_the_settled_version_from_its_peers():
    cluster = LoadedCluster()
    cluster.propose("a-1", "c2", SetCap("austro", CAP // 2))
    cluster.run(2.0)
    cluster.propose("a-1", "c3", SetCap("austro", CAP))
    cluster.run(QUARANTINE_S + 3.0)
    cluster.crash_and_restart("b-1")
    cluster.run(3.0)
    assert share(cluster, "b-1") == CAP // 3
