"""Draining targets and hosts receive no new requests, whatever the source."""

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
from sardinewheel_core.drain_signals import REUSE_DELAY_S
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
from sardinewheel_core.lookup import TTL_S
from sardinewheel_core.messages import Phase
from sardinewheel_core.request import Request
from sardinewheel_testing.fake_cluster import FakeCluster

STOPS_WITHIN_S = 3.0
HOSTS = ("a-1", "a-2", "b-1")


@pytest.fixture
def cluster():
    """Three hosts in two domains of a region, with one target per domain."""
    cluster = FakeCluster()
    for name in HOSTS:
        cluster.start(name, name[0], seeds=HOSTS)
    kinds = {"status": Kind("status", 1)}
    targets = {n: Target(n, n[0], f"addr.{n}", 3) for n in ("a-t", "b-t")}
    cluster.propose(
        "a-1",
        "first",
        DefineRegion(Region("r", 90, ("a", "b"))),
        *(DefineSeat(Seat(name, name[0])) for name in HOSTS),
        DefineService(Service("pedidos", kinds, targets)),
    )
    cluster.run(4.0)
    return cluster


def owner(cluster, target):
    """Returns the host that dispatches to a target."""
    names = [n for n, h in cluster.hosts.items() if target in h.targets.states]
    assert len(names) == 1
    return names[0]


def accepts_work(cluster, target):
    """Returns whether any host would dispatch to a target now."""
    states = [h.targets.states.get(target) for h in cluster.hosts.values()]
    return any(s is not None and s.free_slots(cluster.now) > 0 for s in states)


def dispatch(cluster, name, *, deadline_s=5.0):
    """Hands a host a request and returns its dispatch."""
    number = int(cluster.now * 10)
    request = Request(
        f"r{number}", "pedidos", "status", 1, True, cluster.now + deadline_s
    )
    effects = cluster.feed(name, RequestArrived(number, request))
    return next(e for e in effects if isinstance(e, Dispatch))


def end_attempt(cluster, name, effect, **fields):
    result = AttemptResult(Ending.ANSWERED, 200)._replace(**fields)
    return cluster.feed(name, AttemptEnded(effect.attempt_id, result))


def drain_by_intent(cluster):
    drain = StartDrain(Drain(Subject.TARGET, "a-t"))
    cluster.propose("b-1", "drain", drain)


def drain_by_intent_on_domain(cluster):
    cluster.propose("b-1", "drain", StartDrain(Drain(Subject.DOMAIN, "a")))


def drain_by_intent_not_applied_by_owner(cluster):
    """The owner cannot apply the change, but learns of the drain from peers."""
    host = cluster.hosts[owner(cluster, "a-t")]
    host.configuration.apply_next = lambda changes: []
    drain_by_intent(cluster)


def drain_by_host_list_of_other_host(cluster):
    cluster.feed("b-1", HostListRead((("a-t", "leaving"), ("b-t", "live"))))


def drain_by_answer(cluster):
    name = owner(cluster, "a-t")
    end_attempt(cluster, name, dispatch(cluster, name), draining=True)


def drain_by_probe(cluster):
    event = ProbeCompleted("a-t", healthy=True, draining=True)
    cluster.feed(owner(cluster, "a-t"), event)


@pytest.mark.parametrize(
    "source",
    [
        drain_by_intent,
        drain_by_intent_on_domain,
        drain_by_intent_not_applied_by_owner,
        drain_by_host_list_of_other_host,
        drain_by_answer,
        drain_by_probe,
    ],
)
@pytest.mark.parametrize("is_cut_off", [False, True])
def test_any_single_source_stops_new_work(cluster, source, is_cut_off):
    assert accepts_work(cluster, "a-t")
    if is_cut_off and "intent" not in source.__name__:
        cluster.platform.is_down = True
    source(cluster)
    cluster.run(STOPS_WITHIN_S)
    assert not accepts_work(cluster, "a-t")
    assert accepts_work(cluster, "b-t")


def test_isolated_domain_still_stops_new_work_by_its_own_probes(cluster):
    cluster.is_link_cut = lambda x, y: x[0] != y[0]
    cluster.is_platform_unreachable = lambda x: x[0] == "a"
    drain_by_probe(cluster)
    assert not accepts_work(cluster, "a-t")


def test_drain_persists_after_the_reporting_host_fails(cluster):
    drain_by_host_list_of_other_host(cluster)
    cluster.run(STOPS_WITHIN_S)
    cluster.kill("b-1")
    for _ in range(20):
        cluster.run(1.0)
        assert not accepts_work(cluster, "a-t")


def test_target_is_reused_only_after_its_drain_source_clears_it(cluster):
    drain_by_probe(cluster)
    cluster.run(2 * REUSE_DELAY_S)
    assert not accepts_work(cluster, "a-t")
    name = owner(cluster, "a-t")
    cluster.feed(name, HostListRead((("a-t", "live"),)))
    cluster.run(REUSE_DELAY_S + 1.0)
    assert not accepts_work(cluster, "a-t")
    cluster.feed(name, ProbeCompleted("a-t", healthy=True, draining=False))
    cluster.run(REUSE_DELAY_S - 1.0)
    assert not accepts_work(cluster, "a-t")
    cluster.run(2.0)
    assert accepts_work(cluster, "a-t")
    assert cluster.hosts[name].targets.states["a-t"].limit == 1


def test_drain_ends_with_a_newer_version(cluster):
    drain_by_intent(cluster)
    cluster.run(STOPS_WITHIN_S)
    cluster.propose("a-1", "end", EndDrain(Subject.TARGET, "a-t"))
    cluster.run(STOPS_WITHIN_S)
    assert accepts_work(cluster, "a-t")


def test_work_in_flight_completes_in_about_its_predicted_time(cluster):
    name = owner(cluster, "a-t")
    end_attempt(cluster, name, dispatch(cluster, name), duration_s=1.0)
    running = dispatch(cluster, name)
    drain_by_intent(cluster)
    cluster.run(0.5)
    (progress,) = cluster.hosts[name].drain_progress(cluster.now)
    assert (progress.name, progress.in_flight, progress.is_done) == (
        "a-t",
        1,
        False,
    )
    assert 0.0 < progress.left_s < progress.predicted_s <= 1.0
    end_attempt(cluster, name, running, duration_s=0.9)
    cluster.run(0.2)
    (progress,) = cluster.hosts[name].drain_progress(cluster.now)
    assert progress.is_done
    done = [f for _, f in cluster.reports_of("drain-done") if f["in_flight"]]
    assert abs(done[0]["actual_s"] - done[0]["predicted_s"]) < 0.5


def test_drained_host_leaves_look_ups_and_dispatch_but_completes_its_work(
    cluster,
):
    name = owner(cluster, "a-t")
    other = next(n for n in ("a-1", "a-2") if n != name)
    running = dispatch(cluster, name)
    drain = StartDrain(Drain(Subject.ENTRY_HOST, name))
    cluster.propose("b-1", "drain", drain)
    cluster.run(STOPS_WITHIN_S)
    for host in cluster.hosts.values():
        found = host.look_up(cluster.now, service="pedidos", block="")
        assert name not in [entry.host for entry in found.entries]
    assert (
        cluster.hosts[other].targets.states["a-t"].free_slots(cluster.now) > 0
    )
    assert (
        cluster.hosts[name].targets.states["a-t"].free_slots(cluster.now) == 0
    )
    assert cluster.hosts[name].phase is Phase.READY
    effects = end_attempt(cluster, name, running)
    assert any(type(effect).__name__ == "Reply" for effect in effects)
    cluster.run(0.2)
    assert owner(cluster, "a-t") == other


def test_look_ups_omit_hosts_of_a_drained_domain(cluster):
    drain_by_intent_on_domain(cluster)
    cluster.run(STOPS_WITHIN_S)
    found = cluster.hosts["a-1"].look_up(
        cluster.now, service="pedidos", block=""
    )
    assert [entry.host for entry in found.entries] == ["b-1"]


def test_last_hosts_of_a_region_keep_dispatching_while_drained(cluster):
    host = cluster.hosts["b-1"]
    ready = [s for s in host.membership.ready(cluster.now) if s.name == "b-1"]
    drains = {(Subject.ENTRY_HOST, "b-1"): Drain(Subject.ENTRY_HOST, "b-1")}
    intent = host.configuration.intent._replace(drains=drains)
    assert dispatching.dispatching_hosts(intent, ready) == ready


def test_targets_are_probed_within_the_budget(cluster):
    cluster.run(1.0)
    before = {n: h.probes.sent for n, h in cluster.hosts.items()}
    name = owner(cluster, "a-t")
    for _ in range(100):
        cluster.run(0.1)
        for host in cluster.hosts:
            for target in cluster.hosts[host].targets.states:
                cluster.feed(host, ProbeCompleted(target, healthy=True))
    assert 8 <= cluster.hosts[name].probes.sent - before[name] <= 12


def test_idle_host_exits_soon_after_a_stop(cluster):
    effects = cluster.feed("a-1", StopOrdered())
    exited_after_s = 0.0
    while not any(isinstance(e, Exit) for e in effects):
        cluster.run(0.1)
        exited_after_s += 0.1
        effects = cluster.feed("a-1", StopOrdered()) + tick(cluster, "a-1")
        assert exited_after_s < stopping.LINGER_S + 1.0
    assert len(cluster.reports_of("leaving")) == 1


def tick(cluster, name):
    return cluster.feed(name, Ticked())


def test_host_that_never_served_exits_at_once():
    cluster = FakeCluster()
    cluster.platform.is_down = True
    cluster.start("a-1", "a")
    cluster.run(0.5)
    cluster.feed("a-1", StopOrdered())
    tick(cluster, "a-1")
    assert any(isinstance(e, Exit) for e in tick(cluster, "a-1"))


def test_stopping_host_keeps_serving_callers_with_cached_look_ups(cluster):
    """Guards against exiting early, which would cut new connections."""
    cluster.feed("a-1", StopOrdered())
    exits = []
    for _ in range(int(TTL_S / 0.1)):
        number = int(cluster.now * 10)
        request = Request(
            f"r{number}", "pedidos", "status", 1, True, cluster.now + 5.0
        )
        cluster.feed("a-1", RequestArrived(number, request))
        cluster.run(0.1)
        exits += [e for e in tick(cluster, "a-1") if isinstance(e, Exit)]
    assert not exits
    for exchange in list(cluster.hosts["a-1"].exchanges):
        result = AttemptResult(Ending.ANSWERED, 200)
        cluster.feed("a-1", AttemptEnded(exchange, result))
    cluster.run(stopping.LINGER_S + 1.0)
    assert any(isinstance(e, Exit) for e in tick(cluster, "a-1"))
