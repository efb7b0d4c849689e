"""Admission in a surge: reserved room, order, refusal at once."""

from sardinewheel_core.attempt import Ending
from sardinewheel_core.effects import Forward, Reply, Ticked
from sardinewheel_core.messages import HostState, Phase
from sardinewheel_core.queueing import FAIR_TURN, MAX_WAIT_S, MAX_WAITING
from sardinewheel_core.request import Outcome, Reason


def refusals(effects):
    return [
        e.answer.refusal
        for e in effects
        if isinstance(e, Reply) and e.answer.outcome is Outcome.NOT_RUN
    ]


def test_reads_leave_reserved_slots_to_confirmations(bench, dispatched):
    sent = [d for _ in range(10) for d in dispatched(bench.request("status"))]
    assert len(sent) == 4  # Of 6 slots, 2 are reserved for confirmations.
    assert dispatched(bench.request("confirm"))
    assert dispatched(bench.request("confirm"))


def test_confirmations_overtake_waiting_reads(bench, dispatched):
    first = [d for _ in range(4) for d in dispatched(bench.request("status"))]
    bench.request("status")
    for _ in range(2):
        bench.request("confirm")
    bench.request("confirm", id="quito-1~ff~0~late")
    served = dispatched(bench.end(first[0].attempt_id))
    assert [d.request.id for d in served] == ["quito-1~ff~0~late"]


def test_reads_are_not_starved_by_confirmations(bench, dispatched):
    running = [
        d for _ in range(6) for d in dispatched(bench.request("confirm"))
    ]
    bench.request("status", id="patient")
    served = []
    for _ in range(2 * FAIR_TURN):
        bench.request("confirm")
        done = running.pop(0)
        new = dispatched(bench.end(done.attempt_id))
        running += new
        served += [d.request.id for d in new]
    assert "patient" in served


def test_late_work_is_refused_at_once_with_when_to_come_back(bench):
    for _ in range(6):
        bench.request("confirm")
    effects = bench.request("confirm", deadline=bench.now + 0.05)
    (refusal,) = refusals(effects)
    assert refusal.reason is Reason.DEADLINE
    assert refusal.retry_after_s > 0


def test_urgent_work_takes_the_place_of_the_least_urgent(bench):
    bench.host.queue("pedidos").executions.observe(0.001)
    for _ in range(6):
        bench.request("confirm")
    for _ in range(MAX_WAITING):
        assert not refusals(bench.request("status"))
    effects = bench.request("confirm")
    (refusal,) = refusals(effects)
    assert refusal.reason is Reason.OUTRANKED


def test_heavy_urgent_work_is_not_overtaken_at_the_cap(make_bench, dispatched):
    bench = make_bench(cap=5)
    running = dispatched(bench.request("confirm", weight=3))
    bench.request("confirm", weight=4, id="quito-1~ff~0~heavy")
    assert not dispatched(bench.request("status"))
    served = dispatched(bench.end(running[0].attempt_id))
    assert served[0].request.id == "quito-1~ff~0~heavy"


def test_waiting_ends_with_a_refusal_before_the_deadline(bench):
    for _ in range(6):
        bench.request("confirm")
    bench.request("confirm")
    bench.now += MAX_WAIT_S + 0.1
    effects = bench.host.handle(bench.now, Ticked())
    assert [r.reason for r in refusals(effects)] == [Reason.NO_ROOM]


def test_returns_are_spread_to_match_room(bench):
    for _ in range(6 + MAX_WAITING):
        bench.request("confirm")
    after = []
    for _ in range(50):
        after += [r.retry_after_s for r in refusals(bench.request("confirm"))]
    # 6 slots at 0.1 s each serve 60 requests a second.
    per_half = [sum(1 for a in after if s <= a < s + 0.5) for s in (0, 0.5)]
    assert len(after) == 50
    assert all(0 < count <= 40 for count in per_half)


def test_retries_are_bounded_by_their_budget(bench, dispatched):
    bench.host.queue("pedidos").budget.tokens = 1.0
    (first,) = dispatched(bench.request("status"))
    (second,) = dispatched(bench.end(first.attempt_id, Ending.REFUSED))
    bench.host.queue("pedidos").budget.tokens = 0.0
    effects = bench.end(second.attempt_id, Ending.REFUSED)
    assert not dispatched(effects)
    assert len(refusals(effects)) == 1


def test_overflow_of_another_host_is_refused_rather_than_kept_waiting(bench):
    for _ in range(6):
        bench.request("confirm")
    effects = bench.request("confirm", hops=1, delegated=True)
    assert [r.reason for r in refusals(effects)] == [Reason.NO_ROOM]


def test_slow_executions_are_not_begun_shortly_before_the_deadline(
    bench, dispatched
):
    running = [
        d for _ in range(6) for d in dispatched(bench.request("confirm"))
    ]
    bench.request("confirm", deadline=bench.now + 1.5)
    bench.now += 1.0
    effects = bench.end(running[0].attempt_id, duration_s=1.0)
    assert not dispatched(effects)
    assert [r.reason for r in refusals(effects)] == [Reason.DEADLINE]


def test_refusal_after_waiting_leaves_time_to_come_back(bench):
    for _ in range(6):
        bench.request("confirm")
    bench.request("confirm", deadline=bench.now + 2.0)
    bench.now += 1.0
    effects = bench.host.handle(bench.now, Ticked())
    assert [r.reason for r in refusals(effects)] == [Reason.NO_ROOM]


def peer(name, *, rooms):
    fields = ("quito-bodega", "127.0.0.1:3", "127.0.0.1:4", Phase.READY, 1, 0)
    return HostState(name, 1, 1, *fields, (("pedidos", rooms),))


def test_overflow_of_another_host_books_no_return(bench):
    for _ in range(6):
        bench.request("confirm")
    for number in range(100):
        attempt = f"quito-2~1~{number}"
        bench.request("confirm", hops=1, delegated=True, attempt=attempt)
    effects = bench.request("confirm", deadline=bench.now + 0.05)
    (refusal,) = refusals(effects)
    assert refusal.retry_after_s < 0.5


def test_request_that_peers_have_no_room_for_waits_here(bench):
    peers = tuple(peer(f"peer-{i}", rooms=9) for i in range(8))
    bench.host.membership.merge_states(bench.now, peers)
    for target in bench.host.targets.states.values():
        target.in_flight = target.target.slots
    effects = bench.request("confirm")
    forwards = 0
    while forward := next((e for e in effects if isinstance(e, Forward)), None):
        forwards += 1
        effects = bench.end(
            forward.attempt_id, Ending.REFUSED, reason=Reason.NO_ROOM
        )
    assert forwards
    assert not refusals(effects)
    assert len(bench.host.queue("pedidos")) == 1


def test_request_that_targets_shed_learns_when_to_come_back(bench, dispatched):
    running = dispatched(bench.request("status"))
    for _ in range(100):
        if running:
            effects = bench.end(
                running.pop().attempt_id,
                Ending.REFUSED,
                reason=Reason.TARGET_SHED,
            )
        else:
            bench.now += 0.1
            effects = bench.host.handle(bench.now, Ticked())
        running += dispatched(effects)
        if refusals(effects):
            break
    (refusal,) = refusals(effects)
    assert refusal.retry_after_s > 0
