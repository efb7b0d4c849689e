"""An id runs at most once, and "not run" is true of the id for good."""

import pytest
from sardinewheel_core.attempt import Ending
from sardinewheel_core.effects import (
    CancelArrived,
    RequestArrived,
    TransactionEnded,
)
from sardinewheel_core.exchange import Stage
from sardinewheel_core.request import Outcome, Reason

from tests.core.cluster import Cluster

ID = "quito-1~1~0~order-17"


@pytest.fixture
def cluster():
    return Cluster()


def test_a_refused_id_is_used_up(cluster):
    late = cluster.ask("quito-1", ID, deadline=cluster.now - 1)
    again = cluster.ask("quito-1", ID)
    assert cluster.outcome(late) is Outcome.NOT_RUN
    assert cluster.outcome(again) is Outcome.NOT_RUN
    assert cluster.executions == {}


def test_a_late_retry_of_an_id_in_progress_is_not_called_not_run(cluster):
    cluster.answers_at_once = False
    cluster.ask("quito-1", ID)
    late = cluster.ask("quito-1", ID, deadline=cluster.now - 1)
    assert cluster.outcome(late) is Outcome.UNKNOWN


def test_another_host_never_says_not_run(cluster):
    cluster.ask("quito-1", ID)
    for fields in ({"deadline": 0.0}, {"service": "none"}, {"hops": 2}):
        arrival = cluster.ask("quito-2", ID, **fields)
        assert cluster.outcome(arrival) is Outcome.UNKNOWN


def test_a_retry_joins_and_gets_the_same_answer(cluster):
    cluster.answers_at_once = False
    first = cluster.ask("quito-1", ID)
    joined = [cluster.ask("quito-1", ID), cluster.ask("quito-2", ID)]
    name, dispatch = cluster.open.pop()
    cluster.end(name, dispatch.attempt_id, status=201)
    answers = [cluster.answers[a] for a in (first, *joined)]
    assert [a.outcome for a in answers] == [Outcome.DONE] * 3
    assert answers[0] == answers[1]
    assert cluster.executions == {ID: 1}


def test_a_joined_retry_is_answered_by_its_own_deadline(cluster):
    cluster.answers_at_once = False
    cluster.ask("quito-1", ID)
    joined = cluster.ask("quito-1", ID, deadline=cluster.now + 0.5)
    cluster.tick(0.6)
    assert cluster.answers[joined].reason is Reason.IN_PROGRESS


def test_another_request_with_the_same_id_gets_no_foreign_answer(cluster):
    cluster.ask("quito-1", ID, fingerprint="a")
    other = cluster.ask("quito-1", ID, fingerprint="b")
    assert cluster.answers[other].reason is Reason.ID_REUSED


def test_a_copy_of_a_delegated_attempt_does_not_run(cluster):
    fields = {"delegated": True, "attempt": "quito-1~1~7", "hops": 1}
    cluster.ask("quito-2", ID, **fields)
    copy = cluster.ask("quito-2", ID, **fields)
    assert cluster.outcome(copy) is Outcome.UNKNOWN
    assert cluster.executions == {ID: 1}


def test_lost_work_occupies_its_room_until_its_deadline(cluster):
    cluster.answers_at_once = False
    cluster.ask("quito-1", ID)
    name, dispatch = cluster.open.pop()
    cluster.end(name, dispatch.attempt_id, Ending.LOST)
    host = cluster.hosts[name]
    assert host.allowance.in_flight == 1
    cluster.tick(5.1)
    assert host.allowance.in_flight == 0


def test_lost_work_that_may_not_be_repeated_is_sent_once(cluster):
    cluster.answers_at_once = False
    arrivals = [cluster.ask("quito-1", ID)]
    name, dispatch = cluster.open.pop()
    cluster.end(name, dispatch.attempt_id, Ending.LOST)
    arrivals += [cluster.ask(name, ID) for name in cluster.hosts]
    cluster.tick()
    assert {cluster.outcome(a) for a in arrivals} == {Outcome.UNKNOWN}
    assert cluster.executions == {ID: 1}


def test_repeatable_work_that_was_lost_is_not_called_not_run(cluster):
    cluster.answers_at_once = False
    fields = {"kind": "plain", "repeatable": True}
    arrival = cluster.ask("quito-1", "r1", **fields)
    while cluster.outcome(arrival) is None:
        name, dispatch = cluster.open.pop()
        cluster.end(name, dispatch.attempt_id, Ending.LOST)
        for host in cluster.hosts.values():
            host.targets.states.clear()
    assert cluster.outcome(arrival) is Outcome.UNKNOWN


def test_nothing_leaves_after_a_pause_or_once_superseded(cluster):
    cluster.answers_at_once = False
    cluster.ask("quito-1", ID)
    name, dispatch = cluster.open.pop()
    host = cluster.hosts[name]
    assert host.may_dispatch(cluster.now + 0.1, dispatch.attempt_id)
    assert not host.may_dispatch(cluster.now + 3.0, dispatch.attempt_id)
    host.is_superseded = True
    assert not host.may_dispatch(cluster.now + 0.1, dispatch.attempt_id)


def test_a_superseded_host_still_hands_ids_to_their_owner(cluster):
    cluster.hosts["quito-2"].is_superseded = True
    arrival = cluster.ask("quito-2", ID)
    assert cluster.outcome(arrival) is Outcome.DONE


def test_a_request_that_a_peer_cancelled_is_not_tried_elsewhere(cluster):
    cluster.answers_at_once = False
    arrival = cluster.ask("quito-1", ID)
    name, dispatch = cluster.open.pop()
    reason = Reason.CANCELLED
    cluster.end(name, dispatch.attempt_id, Ending.REFUSED, reason=reason)
    for _ in range(20):
        cluster.tick()
    assert cluster.outcome(arrival) is Outcome.NOT_RUN
    assert cluster.open == []


def test_cancelling_an_id_that_never_arrived_uses_it_up(cluster):
    cluster.feed("quito-1", CancelArrived(ID))
    arrival = cluster.ask("quito-1", ID)
    assert cluster.outcome(arrival) is Outcome.NOT_RUN


def test_ids_of_a_dead_incarnation_never_run_again(cluster):
    cluster.ask("quito-1", ID)
    cluster.kill("quito-1")
    cluster.start("quito-1", incarnation=2)
    cluster.introduce()
    for name in ("quito-1", "quito-2"):
        arrival = cluster.ask(name, ID)
        assert cluster.answers[arrival].reason is Reason.OWNER_GONE
    assert cluster.executions == {ID: 1}


class Table:
    """The platform's rows, with insert-if-absent."""

    def __init__(self):
        self.rows: dict[str, str] = {}

    def run(self, cluster, *, answers=True, fails=False):
        name, call = cluster.transactions.pop(0)
        taken = {k: self.rows[k] for k, _ in call.checks if k in self.rows}
        if not taken and not fails:
            self.rows.update(call.writes)
        rows = tuple((k, 1, v) for k, v in taken.items())
        ended = TransactionEnded(
            call.call_id, answers and not taken, rows, failed=not answers
        )
        cluster.feed(name, ended)


def test_an_id_without_a_ticket_runs_on_the_host_that_claimed_it(cluster):
    table = Table()
    first = cluster.ask("quito-1", "order-9")
    second = cluster.ask("quito-2", "order-9")
    assert cluster.executions == {}
    table.run(cluster)
    table.run(cluster)
    assert cluster.outcome(first) is Outcome.DONE
    assert cluster.outcome(second) is Outcome.DONE
    assert cluster.executions == {"order-9": 1}


def test_a_claim_with_a_lost_answer_is_settled_before_it_runs(cluster):
    table = Table()
    first = cluster.ask("quito-1", "order-9")
    table.run(cluster, answers=False)
    assert cluster.executions == {}
    cluster.tick(1.0)
    table.run(cluster)
    assert cluster.outcome(first) is Outcome.DONE
    other = cluster.ask("quito-2", "order-9")
    table.run(cluster)
    assert cluster.outcome(other) is Outcome.DONE
    assert cluster.executions == {"order-9": 1}


def test_without_the_platform_only_a_first_attempt_is_called_not_run(cluster):
    table = Table()
    arrival = cluster.ask("quito-1", "order-9", is_first=True)
    table.run(cluster, answers=False)
    refused = cluster.ask("quito-1", "order-10", is_first=True)
    retried = cluster.ask("quito-1", "order-11")
    assert cluster.outcome(refused) is Outcome.NOT_RUN
    assert cluster.outcome(retried) is Outcome.UNKNOWN
    cluster.tick(6.0)
    assert cluster.outcome(arrival) is Outcome.NOT_RUN
    table.run(cluster)
    assert cluster.executions == {}


def test_a_given_up_id_that_ran_elsewhere_is_not_called_not_run(cluster):
    table = Table()
    cluster.ask("quito-1", "order-9", is_first=True)
    table.run(cluster, answers=False, fails=True)
    cluster.ask("quito-2", "order-9")
    cluster.tick(6.0)
    while cluster.transactions:
        table.run(cluster)
    cluster.ask("quito-3", "order-9")
    while cluster.transactions:
        table.run(cluster)
    late = cluster.ask("quito-1", "order-9", is_first=True)
    assert cluster.outcome(late) is Outcome.UNKNOWN


def test_a_claim_of_a_dead_incarnation_never_runs_again(cluster):
    table = Table()
    cluster.ask("quito-1", "order-9")
    table.run(cluster)
    cluster.kill("quito-1")
    cluster.start("quito-1", incarnation=2)
    cluster.introduce()
    for name in ("quito-1", "quito-2"):
        arrival = cluster.ask(name, "order-9")
        table.run(cluster)
        assert cluster.answers[arrival].reason is Reason.OWNER_GONE
    assert cluster.executions == {"order-9": 1}


def test_one_taken_id_does_not_stop_the_others_of_its_batch(cluster):
    table = Table()
    cluster.ask("quito-2", "order-1")
    table.run(cluster)
    cluster.ask("quito-1", "order-0")
    arrivals = [cluster.ask("quito-1", f"order-{i}") for i in (1, 2, 3)]
    while cluster.transactions:
        table.run(cluster)
    assert {cluster.outcome(a) for a in arrivals} == {Outcome.DONE}
    assert set(cluster.executions.values()) == {1}


def test_a_waiting_claim_stays_with_its_own_arrival(cluster):
    cluster.ask("quito-1", "order-1")
    (exchange,) = cluster.hosts["quito-1"].claims.batch
    assert exchange.stage is Stage.CLAIMING
    event = RequestArrived(99, exchange.request)
    cluster.feed("quito-1", event)
    Table().run(cluster)
    assert cluster.answers[99] == cluster.answers[exchange.arrival_id]
