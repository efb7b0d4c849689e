"""Admission under overload: reserved slots, queue order, refusals."""

from sardinewheel_core.attempt import Ending
from sardinewheel_core.effects import Forward, Reply, Ticked
from sardinewheel_core.messages import HostState, Phase
from sardinewheel_core.queueing import (
    FAIRNESS_INTERVAL,
    MAX_WAIT_S,
    MAX_WAITING,
)
from sardinewheel_core.request import Outcome, Reason


def refusals(effects):
    return [
        e.answer.refusal
        for e in effects
        if isinstance(e, Reply) and e.answer.outcome is Outcome.NOT_RUN
    ]


def test_low_priority_requests_leave_reserved_slots_free(harness, dispatched):
    sent = [d for _ in range(10) for d in dispatched(harness.request("status"))]
    assert len(sent) == 4  # Of 6 slots, 2 are reserved for confirmations.
    assert dispatched(harness.request("confirm"))
    assert dispatched(harness.request("confirm"))


def test_urgent_requests_are_dispatched_before_queued_reads(
    harness, dispatched
):
    first = [d for _ in range(4) for d in dispatched(harness.request("status"))]
    harness.request("status")
    for _ in range(2):
        harness.request("confirm")
    harness.request("confirm", id="quito-1~ff~0~late")
    served = dispatched(harness.end_attempt(first[0].attempt_id))
    assert [d.request.id for d in served] == ["quito-1~ff~0~late"]


def test_low_priority_requests_are_not_starved(harness, dispatched):
    running = [
        d for _ in range(6) for d in dispatched(harness.request("confirm"))
    ]
    harness.request("status", id="queued-read")
    served = []
    for _ in range(2 * FAIRNESS_INTERVAL):
        harness.request("confirm")
        done = running.pop(0)
        new = dispatched(harness.end_attempt(done.attempt_id))
        running += new
        served += [d.request.id for d in new]
    assert "queued-read" in served


def test_request_near_its_deadline_is_refused_with_retry_after(harness):
    for _ in range(6):
        harness.request("confirm")
    effects = harness.request("confirm", deadline=harness.now + 0.05)
    (refusal,) = refusals(effects)
    assert refusal.reason is Reason.DEADLINE
    assert refusal.retry_after_s > 0


def test_urgent_request_evicts_the_least_urgent_from_a_full_queue(harness):
    harness.host.queue("pedidos").service_time.observe(0.001)
    for _ in range(6):
        harness.request("confirm")
    for _ in range(MAX_WAITING):
        assert not refusals(harness.request("status"))
    effects = harness.request("confirm")
    (refusal,) = refusals(effects)
    assert refusal.reason is Reason.OUTRANKED


def test_heavy_urgent_request_is_not_overtaken_at_the_cap(
    make_harness, dispatched
):
    harness = make_harness(cap=5)
    running = dispatched(harness.request("confirm", weight=3))
    harness.request("confirm", weight=4, id="quito-1~ff~0~heavy")
    assert not dispatched(harness.request("status"))
    served = dispatched(harness.end_attempt(running[0].attempt_id))
    assert served[0].request.id == "quito-1~ff~0~heavy"


def test_queued_request_is_refused_before_its_deadline(harness):
    for _ in range(6):
        harness.request("confirm")
    harness.request("confirm")
    harness.now += MAX_WAIT_S + 0.1
    effects = harness.host.handle(harness.now, Ticked())
    assert [r.reason for r in refusals(effects)] == [Reason.NO_ROOM]


def test_retry_times_are_spread_to_match_capacity(harness):
    for _ in range(6 + MAX_WAITING):
        harness.request("confirm")
    after = []
    for _ in range(50):
        after += [r.retry_after_s for r in refusals(harness.request("confirm"))]
    # 6 slots at 0.1 s each serve 60 requests a second.
    per_half = [sum(1 for a in after if s <= a < s + 0.5) for s in (0, 0.5)]
    assert len(after) == 50
    assert all(0 < count <= 40 for count in per_half)


def test_retries_are_limited_by_the_retry_budget(harness, dispatched):
    harness.host.queue("pedidos").retry_budget.tokens = 1.0
    (first,) = dispatched(harness.request("status"))
    (second,) = dispatched(
        harness.end_attempt(first.attempt_id, Ending.REFUSED)
    )
    harness.host.queue("pedidos").retry_budget.tokens = 0.0
    effects = harness.end_attempt(second.attempt_id, Ending.REFUSED)
    assert not dispatched(effects)
    assert len(refusals(effects)) == 1


def test_overflow_from_another_host_is_refused_rather_than_queued(harness):
    for _ in range(6):
        harness.request("confirm")
    effects = harness.request("confirm", hops=1, delegated=True)
    assert [r.reason for r in refusals(effects)] == [Reason.NO_ROOM]


def test_slow_executions_are_not_started_shortly_before_the_deadline(
    harness, dispatched
):
    running = [
        d for _ in range(6) for d in dispatched(harness.request("confirm"))
    ]
    harness.request("confirm", deadline=harness.now + 1.5)
    harness.now += 1.0
    effects = harness.end_attempt(running[0].attempt_id, duration_s=1.0)
    assert not dispatched(effects)
    assert [r.reason for r in refusals(effects)] == [Reason.DEADLINE]


def test_refusal_after_queueing_leaves_time_to_retry(harness):
    for _ in range(6):
        harness.request("confirm")
    harness.request("confirm", deadline=harness.now + 2.0)
    harness.now += 1.0
    effects = harness.host.handle(harness.now, Ticked())
    assert [r.reason for r in refusals(effects)] == [Reason.NO_ROOM]


def peer(name, *, free_slots):
    fields = ("quito-bodega", "127.0.0.1:3", "127.0.0.1:4", Phase.READY, 1, 0)
    return HostState(name, 1, 1, *fields, (("pedidos", free_slots),))


def test_overflow_from_another_host_reserves_no_retry_time(harness):
    for _ in range(6):
        harness.request("confirm")
    for number in range(100):
        attempt = f"quito-2~1~{number}"
        harness.request("confirm", hops=1, delegated=True, attempt=attempt)
    effects = harness.request("confirm", deadline=harness.now + 0.05)
    (refusal,) = refusals(effects)
    assert refusal.retry_after_s < 0.5


def test_request_that_all_peers_refuse_is_queued_locally(harness):
    peers = tuple(peer(f"peer-{i}", free_slots=9) for i in range(8))
    harness.host.membership.merge_states(harness.now, peers)
    for target in harness.host.targets.states.values():
        target.in_flight = target.target.slots
    effects = harness.request("confirm")
    forwards = 0
    while forward := next((e for e in effects if isinstance(e, Forward)), None):
        forwards += 1
        effects = harness.end_attempt(
            forward.attempt_id, Ending.REFUSED, reason=Reason.NO_ROOM
        )
    assert forwards
    assert not refusals(effects)
    assert len(harness.host.queue("pedidos")) == 1


def test_request_shed_by_targets_is_refused_with_retry_after(
    harness, dispatched
):
    running = dispatched(harness.request("status"))
    for _ in range(100):
        if running:
            effects = harness.end_attempt(
                running.pop().attempt_id,
                Ending.REFUSED,
                reason=Reason.TARGET_SHED,
            )
        else:
            harness.now += 0.1
            effects = harness.host.handle(harness.now, Ticked())
        running += dispatched(effects)
        if refusals(effects):
            break
    (refusal,) = refusals(effects)
    assert refusal.retry_after_s > 0
