"""Unannounced joins and failures of hosts; bandwidth budget of gossip."""

import random
from collections import Counter

import pytest
from sardinewheel_core.change import DefineRegion, DefineSeat, DefineService
from sardinewheel_core.effects import Exit, MessageArrived, Ticked
from sardinewheel_core.intent import Kind, Region, Seat, Service, Target
from sardinewheel_core.membership import (
    LARGE_FLEET_HOSTS,
    SCAN_INTERVAL_S,
    Membership,
)
from sardinewheel_core.messages import Heartbeat, HostState, Phase
from sardinewheel_entry.peers import encode
from sardinewheel_testing.fake_cluster import FakeCluster

# Its tests share a fixture of the module.
pytestmark = pytest.mark.xdist_group("membership")

DOMAINS = ("a", "a", "b", "c", "c", "d", "d", "e", "e", "f", "f")
BUDGET_BYTES_PER_S = 7000


def make_cluster(domains, *, seed=1):
    """Returns a cluster with one region and one host per entry of domains."""
    cluster = FakeCluster(seed=seed)
    names = [f"{domain}-{index}" for index, domain in enumerate(domains)]
    for name, domain in zip(names, domains, strict=True):
        cluster.start(name, domain, seeds=tuple(names[:2]))
    targets = {f"t-{d}": Target(f"t-{d}", d, d, 3) for d in set(domains)}
    kinds = {"status": Kind("status", 1)}
    cluster.propose(
        names[0],
        "first",
        DefineRegion(Region("r", 99, tuple(sorted(set(domains))))),
        *(DefineSeat(Seat(n, d)) for n, d in zip(names, domains, strict=True)),
        DefineService(Service("pedidos", kinds, targets)),
    )
    cluster.run(8.0)
    cluster.reports.clear()
    cluster.sent.clear()
    return cluster


@pytest.fixture(scope="module")
def cluster_of_40():
    return make_cluster(("a",) * 40)


def owners(cluster, target):
    return [n for n, h in cluster.hosts.items() if target in h.targets.states]


def repairs(cluster, cause):
    return [
        (name, fields)
        for name, fields in cluster.reports_of("repair")
        if cause in fields["cause"]
    ]


def test_every_host_has_the_states_of_all_others_and_suspects_none(
    cluster_of_40,
):
    cluster = cluster_of_40
    cluster.loss_rate = 0.02
    cluster.run(10.0)
    assert {len(h.membership.states) for h in cluster.hosts.values()} == {39}
    assert not cluster.reports_of("repair")


def test_bytes_sent_stay_within_the_budget(cluster_of_40):
    cluster = cluster_of_40
    cluster.sent.clear()
    cluster.run(10.0)
    sent = Counter()
    for name, send in cluster.sent:
        sent[name] += len(encode(name, send.message, address="127.0.0.1:9999"))
    assert max(sent.values()) / 10.0 < BUDGET_BYTES_PER_S


def test_host_failure_is_detected_and_its_targets_are_taken_over():
    cluster = make_cluster(DOMAINS)
    (owner,) = owners(cluster, "t-c")
    other = next(n for n in cluster.hosts if n[0] == "c" and n != owner)
    cluster.kill(owner)
    cluster.run(6.0)
    assert owners(cluster, "t-c") == [other]
    assert cluster.hosts[other].targets.states["t-c"].limit == 1
    detected_by = {name for name, _ in repairs(cluster, f"host {owner} silent")}
    assert detected_by == set(cluster.hosts)


def test_domain_without_hosts_is_adopted_by_its_region_and_returned():
    cluster = make_cluster(DOMAINS)
    cluster.kill("b-2")
    cluster.run(8.0)
    (adopter,) = owners(cluster, "t-b")
    assert cluster.hosts[adopter].targets.states["t-b"].limit == 1
    ((name, fields),) = repairs(cluster, "no entry host left")
    assert (name, fields["domain"]) == (adopter, "b")
    cluster.start("b-2", "b", seeds=("a-0",))
    cluster.run(8.0)
    assert owners(cluster, "t-b") == ["b-2"]
    assert [n for n, _ in cluster.reports_of("adoption-ended")] == [adopter]


def test_unannounced_host_joins():
    cluster = make_cluster(DOMAINS)
    cluster.start("z-9", "c", seeds=("a-1",))
    cluster.run(6.0)
    assert cluster.hosts["z-9"].phase is Phase.READY
    joined = {
        n for n, f in cluster.reports_of("host-joined") if f["host"] == "z-9"
    }
    assert joined == set(cluster.hosts) - {"z-9"}


def test_newer_incarnation_replaces_the_older_which_leaves():
    cluster = make_cluster(DOMAINS)
    older = cluster.hosts["c-3"]
    newer = cluster.start("c-3", "c", seeds=("a-0",))
    cluster.run(4.0)
    known = cluster.hosts["a-0"].membership.states["c-3"]
    assert known.incarnation == newer.identity.incarnation
    message = MessageArrived("a-0", Heartbeat((known,)))
    older.handle(cluster.now, message)
    assert older.is_superseded
    effects = []
    for tick in range(80):
        effects += older.handle(cluster.now + tick / 10, Ticked())
    assert any(isinstance(effect, Exit) for effect in effects)
    assert repairs(cluster, "new incarnation in seat c-3")


def test_paused_host_does_not_suspect_the_others():
    cluster = make_cluster(DOMAINS)
    host = cluster.hosts["c-3"]
    before = set(host.targets.states)
    host.handle(cluster.now + 60.0, Ticked())
    assert len(host.membership.alive(cluster.now + 60.0)) == len(DOMAINS)
    assert set(host.targets.states) == before


def test_heartbeats_of_a_failed_host_are_not_relayed_indefinitely():
    cluster = make_cluster(DOMAINS)
    cluster.kill("c-3")
    cluster.run(20.0)
    for host in cluster.hosts.values():
        names = [s.name for s in host.membership.alive(cluster.now)]
        assert "c-3" not in names


def test_announcement_reaches_hosts_that_did_not_receive_it_directly():
    cluster = make_cluster(DOMAINS)
    leaving_host = cluster.hosts["f-9"].membership
    leaving_host.own = leaving_host.own._replace(phase=Phase.LEAVING)
    (peer, heartbeat), *_ = leaving_host.announce()
    cluster.kill("f-9")
    message = MessageArrived("f-9", heartbeat)
    cluster.feed(peer.host, message)
    cluster.run(2.0)
    for host in cluster.hosts.values():
        assert host.membership.states["f-9"].phase is Phase.LEAVING


def idle_state(name):
    return HostState(name, 1, 1, "norte", name, name, Phase.READY, 1, 0)


def test_large_fleet_is_scanned_at_intervals_and_failures_are_detected():
    membership = Membership(
        own=idle_state("own"), seeds=(), rng=random.Random(1)
    )
    others = tuple(idle_state(f"h{i}") for i in range(LARGE_FLEET_HOSTS + 1))
    membership.merge_states(0.0, others)
    assert len(membership.alive(0.0)) == len(others) + 1
    assert membership.is_scan_due(0.0)
    assert not membership.is_scan_due(SCAN_INTERVAL_S / 2)
    assert membership.is_scan_due(SCAN_INTERVAL_S)
    suspected_after_s = membership.suspect_after_s(others[0])
    assert membership.alive(suspected_after_s + SCAN_INTERVAL_S) == [
        membership.own
    ]
