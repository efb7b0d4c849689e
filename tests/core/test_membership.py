"""Hosts come and go unannounced; gossip stays within its budget."""

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
from sardinewheel_testing.fake_house import FakeHouse

DOMAINS = ("a", "a", "b", "c", "c", "d", "d", "e", "e", "f", "f")
BUDGET_BYTES_PER_S = 7000


def house_of(domains, *, seed=1):
    """Returns a house with a host for each domain named, and one region."""
    house = FakeHouse(seed=seed)
    names = [f"{domain}-{index}" for index, domain in enumerate(domains)]
    for name, domain in zip(names, domains, strict=True):
        house.start(name, domain, seeds=tuple(names[:2]))
    targets = {f"t-{d}": Target(f"t-{d}", d, d, 3) for d in set(domains)}
    kinds = {"status": Kind("status", 1)}
    house.propose(
        names[0],
        "first",
        DefineRegion(Region("r", 99, tuple(sorted(set(domains))))),
        *(DefineSeat(Seat(n, d)) for n, d in zip(names, domains, strict=True)),
        DefineService(Service("pedidos", kinds, targets)),
    )
    house.run(8.0)
    house.reports.clear()
    house.sent.clear()
    return house


@pytest.fixture(scope="module")
def domains_of_40():
    return house_of(("a",) * 40)


def owners(house, target):
    return [n for n, h in house.hosts.items() if target in h.targets.states]


def repairs(house, cause):
    return [
        (name, fields)
        for name, fields in house.reported("repair")
        if cause in fields["cause"]
    ]


def test_everyone_knows_everyone_and_no_one_is_suspected(domains_of_40):
    house = domains_of_40
    house.loss = 0.02
    house.run(10.0)
    assert {len(h.membership.states) for h in house.hosts.values()} == {39}
    assert not house.reported("repair")


def test_bytes_sent_stay_within_the_budget(domains_of_40):
    house = domains_of_40
    house.sent.clear()
    house.run(10.0)
    sent = Counter()
    for name, send in house.sent:
        sent[name] += len(encode(name, send.message, address="127.0.0.1:9999"))
    assert max(sent.values()) / 10.0 < BUDGET_BYTES_PER_S


def test_killed_host_is_noticed_and_its_targets_are_taken_over():
    house = house_of(DOMAINS)
    (owner,) = owners(house, "t-c")
    other = next(n for n in house.hosts if n[0] == "c" and n != owner)
    house.kill(owner)
    house.run(6.0)
    assert owners(house, "t-c") == [other]
    assert house.hosts[other].targets.states["t-c"].limit == 1
    noticed = {name for name, _ in repairs(house, f"host {owner} silent")}
    assert noticed == set(house.hosts)


def test_domain_without_hosts_is_adopted_by_its_region_and_given_back():
    house = house_of(DOMAINS)
    house.kill("b-2")
    house.run(8.0)
    (adopter,) = owners(house, "t-b")
    assert house.hosts[adopter].targets.states["t-b"].limit == 1
    ((name, fields),) = repairs(house, "no entry host left")
    assert (name, fields["domain"]) == (adopter, "b")
    house.start("b-2", "b", seeds=("a-0",))
    house.run(8.0)
    assert owners(house, "t-b") == ["b-2"]
    assert [n for n, _ in house.reported("adoption-ended")] == [adopter]


def test_host_that_was_not_announced_joins():
    house = house_of(DOMAINS)
    house.start("z-9", "c", seeds=("a-1",))
    house.run(6.0)
    assert house.hosts["z-9"].phase is Phase.READY
    joined = {n for n, f in house.reported("host-joined") if f["host"] == "z-9"}
    assert joined == set(house.hosts) - {"z-9"}


def test_newer_incarnation_replaces_the_older_which_leaves():
    house = house_of(DOMAINS)
    older = house.hosts["c-3"]
    newer = house.start("c-3", "c", seeds=("a-0",))
    house.run(4.0)
    known = house.hosts["a-0"].membership.states["c-3"]
    assert known.incarnation == newer.identity.incarnation
    message = MessageArrived("a-0", Heartbeat((known,)))
    older.handle(house.now, message)
    assert older.is_superseded
    effects = []
    for tick in range(80):
        effects += older.handle(house.now + tick / 10, Ticked())
    assert any(isinstance(effect, Exit) for effect in effects)
    assert repairs(house, "new incarnation in seat c-3")


def test_paused_host_does_not_take_the_others_for_dead():
    house = house_of(DOMAINS)
    host = house.hosts["c-3"]
    before = set(host.targets.states)
    host.handle(house.now + 60.0, Ticked())
    assert len(host.membership.alive(house.now + 60.0)) == len(DOMAINS)
    assert set(host.targets.states) == before


def test_beats_of_a_dead_host_are_not_passed_on_for_ever():
    house = house_of(DOMAINS)
    house.kill("c-3")
    house.run(20.0)
    for host in house.hosts.values():
        names = [s.name for s in host.membership.alive(house.now)]
        assert "c-3" not in names


def test_announced_news_reaches_hosts_that_did_not_hear_it_directly():
    house = house_of(DOMAINS)
    leaver = house.hosts["f-9"].membership
    leaver.own = leaver.own._replace(phase=Phase.LEAVING)
    (peer, heartbeat), *_ = leaver.announce()
    house.kill("f-9")
    message = MessageArrived("f-9", heartbeat)
    house.feed(peer.host, message)
    house.run(2.0)
    for host in house.hosts.values():
        assert host.membership.states["f-9"].phase is Phase.LEAVING


def idle_state(name):
    return HostState(name, 1, 1, "norte", name, name, Phase.READY, 1, 0)


def test_large_fleet_is_walked_at_intervals_and_still_notices_death():
    membership = Membership(
        own=idle_state("own"), seeds=(), rng=random.Random(1)
    )
    others = tuple(idle_state(f"h{i}") for i in range(LARGE_FLEET_HOSTS + 1))
    membership.merge_states(0.0, others)
    assert len(membership.alive(0.0)) == len(others) + 1
    assert membership.is_scan_due(0.0)
    assert not membership.is_scan_due(SCAN_INTERVAL_S / 2)
    assert membership.is_scan_due(SCAN_INTERVAL_S)
    silent_s = membership.suspect_after_s(others[0])
    assert membership.alive(silent_s + SCAN_INTERVAL_S) == [membership.own]
