"""Leaving targets and hosts get no new work, whoever says so first."""

import pytest
from sardinewheel_core import dispatching, stopping
from sardinewheel_core.attempt import AttemptResult, Ending
from sardinewheel_core.change import (
    DefineRegion,
    DefineSeat,
    DefineService,
    EndDrain,
    StartDrain,
)
from sardinewheel_core.effects import (
    AttemptEnded,
    Dispatch,
    Exit,
    HostListRead,
    ProbeCompleted,
    RequestArrived,
    StopOrdered,
    Ticked,
)
from sardinewheel_core.intent import (
    Drain,
    Kind,
    Region,
    Seat,
    Service,
    Subject,
    Target,
)
from sardinewheel_core.leaving import RETURN_DELAY_S
from sardinewheel_core.lookup import TTL_S
from sardinewheel_core.messages import Phase
from sardinewheel_core.request import Request
from sardinewheel_testing.fake_house import FakeHouse

STOPS_WITHIN_S = 3.0
HOSTS = ("a-1", "a-2", "b-1")


@pytest.fixture
def house():
    """Three hosts in two domains of a region; each domain has a target."""
    house = FakeHouse()
    for name in HOSTS:
        house.start(name, name[0], seeds=HOSTS)
    kinds = {"status": Kind("status", 1)}
    targets = {n: Target(n, n[0], f"addr.{n}", 3) for n in ("a-t", "b-t")}
    house.propose(
        "a-1",
        "first",
        DefineRegion(Region("r", 90, ("a", "b"))),
        *(DefineSeat(Seat(name, name[0])) for name in HOSTS),
        DefineService(Service("pedidos", kinds, targets)),
    )
    house.run(4.0)
    return house


def owner(house, target):
    """Returns the host that dispatches to a target."""
    names = [n for n, h in house.hosts.items() if target in h.targets.states]
    assert len(names) == 1
    return names[0]


def takes_work(house, target):
    """Says whether any host would dispatch to a target now."""
    states = [h.targets.states.get(target) for h in house.hosts.values()]
    return any(s is not None and s.free(house.now) > 0 for s in states)


def dispatch(house, name, *, deadline_s=5.0):
    """Hands a host a request and returns its dispatch."""
    number = int(house.now * 10)
    request = Request(
        f"r{number}", "pedidos", "status", 1, True, house.now + deadline_s
    )
    effects = house.feed(name, RequestArrived(number, request))
    return next(e for e in effects if isinstance(e, Dispatch))


def end(house, name, effect, **fields):
    result = AttemptResult(Ending.ANSWERED, 200)._replace(**fields)
    return house.feed(name, AttemptEnded(effect.attempt_id, result))


def by_intent(house):
    drain = StartDrain(Drain(Subject.TARGET, "a-t"))
    house.propose("b-1", "drain", drain)


def by_intent_of_a_domain(house):
    house.propose("b-1", "drain", StartDrain(Drain(Subject.DOMAIN, "a")))


def by_intent_while_owner_cannot_read_the_change(house):
    """The owner stays behind, but hears of the drained place."""
    host = house.hosts[owner(house, "a-t")]
    host.configuration.offer = lambda changes: []
    by_intent(house)


def by_host_list_of_one_other_host(house):
    house.feed("b-1", HostListRead((("a-t", "leaving"), ("b-t", "live"))))


def by_answer(house):
    name = owner(house, "a-t")
    end(house, name, dispatch(house, name), draining=True)


def by_probe(house):
    event = ProbeCompleted("a-t", healthy=True, draining=True)
    house.feed(owner(house, "a-t"), event)


@pytest.mark.parametrize(
    "source",
    [
        by_intent,
        by_intent_of_a_domain,
        by_intent_while_owner_cannot_read_the_change,
        by_host_list_of_one_other_host,
        by_answer,
        by_probe,
    ],
)
@pytest.mark.parametrize("is_cut_off", [False, True])
def test_one_source_alone_stops_new_work(house, source, is_cut_off):
    assert takes_work(house, "a-t")
    if is_cut_off and "intent" not in source.__name__:
        house.platform.is_down = True
    source(house)
    house.run(STOPS_WITHIN_S)
    assert not takes_work(house, "a-t")
    assert takes_work(house, "b-t")


def test_cut_domain_still_stops_by_its_own_probes(house):
    house.is_cut = lambda x, y: x[0] != y[0]
    house.is_cut_off = lambda x: x[0] == "a"
    by_probe(house)
    assert not takes_work(house, "a-t")


def test_news_outlives_the_host_that_brought_it(house):
    by_host_list_of_one_other_host(house)
    house.run(STOPS_WITHIN_S)
    house.kill("b-1")
    for _ in range(20):
        house.run(1.0)
        assert not takes_work(house, "a-t")


def test_target_returns_only_after_its_source_took_it_back(house):
    by_probe(house)
    house.run(2 * RETURN_DELAY_S)
    assert not takes_work(house, "a-t")
    name = owner(house, "a-t")
    house.feed(name, HostListRead((("a-t", "live"),)))
    house.run(RETURN_DELAY_S + 1.0)
    assert not takes_work(house, "a-t")
    house.feed(name, ProbeCompleted("a-t", healthy=True, draining=False))
    house.run(RETURN_DELAY_S - 1.0)
    assert not takes_work(house, "a-t")
    house.run(2.0)
    assert takes_work(house, "a-t")
    assert house.hosts[name].targets.states["a-t"].limit == 1


def test_drain_ends_with_a_newer_version(house):
    by_intent(house)
    house.run(STOPS_WITHIN_S)
    house.propose("a-1", "end", EndDrain(Subject.TARGET, "a-t"))
    house.run(STOPS_WITHIN_S)
    assert takes_work(house, "a-t")


def test_work_in_flight_ends_and_its_time_was_predicted(house):
    name = owner(house, "a-t")
    end(house, name, dispatch(house, name), duration_s=1.0)
    running = dispatch(house, name)
    by_intent(house)
    house.run(0.5)
    (seen,) = house.hosts[name].drain_progress(house.now)
    assert (seen.name, seen.in_flight, seen.is_done) == ("a-t", 1, False)
    assert 0.0 < seen.left_s < seen.predicted_s <= 1.0
    end(house, name, running, duration_s=0.9)
    house.run(0.2)
    (seen,) = house.hosts[name].drain_progress(house.now)
    assert seen.is_done
    done = [f for _, f in house.reported("drain-done") if f["in_flight"]]
    assert abs(done[0]["actual_s"] - done[0]["predicted_s"]) < 0.5


def test_drained_host_leaves_look_ups_and_dispatch_but_ends_its_work(house):
    name = owner(house, "a-t")
    other = next(n for n in ("a-1", "a-2") if n != name)
    running = dispatch(house, name)
    drain = StartDrain(Drain(Subject.ENTRY_HOST, name))
    house.propose("b-1", "drain", drain)
    house.run(STOPS_WITHIN_S)
    for host in house.hosts.values():
        found = host.look_up(house.now, service="pedidos", block="")
        assert name not in [entry.host for entry in found.entries]
    assert house.hosts[other].targets.states["a-t"].free(house.now) > 0
    assert house.hosts[name].targets.states["a-t"].free(house.now) == 0
    assert house.hosts[name].phase is Phase.READY
    effects = end(house, name, running)
    assert any(type(effect).__name__ == "Reply" for effect in effects)
    house.run(0.2)
    assert owner(house, "a-t") == other


def test_look_ups_lead_away_from_a_drained_domain(house):
    by_intent_of_a_domain(house)
    house.run(STOPS_WITHIN_S)
    found = house.hosts["a-1"].look_up(house.now, service="pedidos", block="")
    assert [entry.host for entry in found.entries] == ["b-1"]


def test_last_hosts_of_a_region_go_on_although_drained(house):
    host = house.hosts["b-1"]
    ready = [s for s in host.membership.ready(house.now) if s.name == "b-1"]
    drains = {(Subject.ENTRY_HOST, "b-1"): Drain(Subject.ENTRY_HOST, "b-1")}
    intent = host.configuration.intent._replace(drains=drains)
    assert dispatching.serving(intent, ready) == ready


def test_targets_are_probed_within_the_budget(house):
    house.run(1.0)
    before = {n: h.probes.sent for n, h in house.hosts.items()}
    name = owner(house, "a-t")
    for _ in range(100):
        house.run(0.1)
        for host in house.hosts:
            for target in house.hosts[host].targets.states:
                house.feed(host, ProbeCompleted(target, healthy=True))
    assert 8 <= house.hosts[name].probes.sent - before[name] <= 12


def test_idle_host_exits_soon_after_a_stop(house):
    effects = house.feed("a-1", StopOrdered())
    exited_after_s = 0.0
    while not any(isinstance(e, Exit) for e in effects):
        house.run(0.1)
        exited_after_s += 0.1
        effects = house.feed("a-1", StopOrdered()) + tick(house, "a-1")
        assert exited_after_s < stopping.LINGER_S + 1.0
    assert len(house.reported("leaving")) == 1


def tick(house, name):
    return house.feed(name, Ticked())


def test_host_that_never_served_exits_at_once():
    house = FakeHouse()
    house.platform.is_down = True
    house.start("a-1", "a")
    house.run(0.5)
    house.feed("a-1", StopOrdered())
    tick(house, "a-1")
    assert any(isinstance(e, Exit) for e in tick(house, "a-1"))


def test_stopping_host_stays_while_callers_with_cached_look_ups_come(house):
    """Exiting under them would cut requests on new connections."""
    house.feed("a-1", StopOrdered())
    exits = []
    for _ in range(int(TTL_S / 0.1)):
        number = int(house.now * 10)
        request = Request(
            f"r{number}", "pedidos", "status", 1, True, house.now + 5.0
        )
        house.feed("a-1", RequestArrived(number, request))
        house.run(0.1)
        exits += [e for e in tick(house, "a-1") if isinstance(e, Exit)]
    assert not exits
    for exchange in list(house.hosts["a-1"].exchanges):
        result = AttemptResult(Ending.ANSWERED, 200)
        house.feed("a-1", AttemptEnded(exchange, result))
    house.run(stopping.LINGER_S + 1.0)
    assert any(isinstance(e, Exit) for e in tick(house, "a-1"))
