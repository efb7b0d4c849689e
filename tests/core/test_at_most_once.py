"""Each request id is executed at most once, and "not run" is final."""

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


def test_a_refused_id_is_never_executed_later(cluster):
    late = cluster.submit("quito-1", ID, deadline=cluster.now - 1)
    again = cluster.submit("quito-1", ID)
    assert cluster.outcome(late) is Outcome.NOT_RUN
    assert cluster.outcome(again) is Outcome.NOT_RUN
    assert cluster.executions == {}


def test_an_expired_retry_of_an_id_in_progress_is_answered_unknown(cluster):
    cluster.answers_immediately = False
    cluster.submit("quito-1", ID)
    late = cluster.submit("quito-1", ID, deadline=cluster.now - 1)
    assert cluster.outcome(late) is Outcome.UNKNOWN


def test_only_the_owner_answers_not_run(cluster):
    cluster.submit("quito-1", ID)
    for fields in ({"deadline": 0.0}, {"service": "none"}, {"hops": 2}):
        arrival = cluster.submit("quito-2", ID, **fields)
        assert cluster.outcome(arrival) is Outcome.UNKNOWN


def test_a_retry_joins_and_gets_the_same_answer(cluster):
    cluster.answers_immediately = False
    first = cluster.submit("quito-1", ID)
    joined = [cluster.submit("quito-1", ID), cluster.submit("quito-2", ID)]
    name, dispatch = cluster.open_dispatches.pop()
    cluster.end_attempt(name, dispatch.attempt_id, status=201)
    answers = [cluster.answers[a] for a in (first, *joined)]
    assert [a.outcome for a in answers] == [Outcome.DONE] * 3
    assert answers[0] == answers[1]
    assert cluster.executions == {ID: 1}


def test_a_joined_retry_is_answered_by_its_own_deadline(cluster):
    cluster.answers_immediately = False
    cluster.submit("quito-1", ID)
    joined = cluster.submit("quito-1", ID, deadline=cluster.now + 0.5)
    cluster.tick(0.6)
    assert cluster.answers[joined].reason is Reason.IN_PROGRESS


def test_a_different_request_that_reuses_an_id_is_refused(cluster):
    cluster.submit("quito-1", ID, fingerprint="a")
    other = cluster.submit("quito-1", ID, fingerprint="b")
    assert cluster.answers[other].reason is Reason.ID_REUSED


def test_a_duplicate_of_a_delegated_attempt_is_not_executed(cluster):
    fields = {"delegated": True, "attempt": "quito-1~1~7", "hops": 1}
    cluster.submit("quito-2", ID, **fields)
    copy = cluster.submit("quito-2", ID, **fields)
    assert cluster.outcome(copy) is Outcome.UNKNOWN
    assert cluster.executions == {ID: 1}


def test_a_lost_attempt_counts_as_in_flight_until_its_deadline(cluster):
    cluster.answers_immediately = False
    cluster.submit("quito-1", ID)
    name, dispatch = cluster.open_dispatches.pop()
    cluster.end_attempt(name, dispatch.attempt_id, Ending.LOST)
    host = cluster.hosts[name]
    assert host.allowance.in_flight == 1
    cluster.tick(5.1)
    assert host.allowance.in_flight == 0


def test_a_lost_non_repeatable_request_is_dispatched_once(cluster):
    cluster.answers_immediately = False
    arrivals = [cluster.submit("quito-1", ID)]
    name, dispatch = cluster.open_dispatches.pop()
    cluster.end_attempt(name, dispatch.attempt_id, Ending.LOST)
    arrivals += [cluster.submit(name, ID) for name in cluster.hosts]
    cluster.tick()
    assert {cluster.outcome(a) for a in arrivals} == {Outcome.UNKNOWN}
    assert cluster.executions == {ID: 1}


def test_a_lost_repeatable_request_is_never_answered_not_run(cluster):
    cluster.answers_immediately = False
    fields = {"kind": "plain", "repeatable": True}
    arrival = cluster.submit("quito-1", "r1", **fields)
    while cluster.outcome(arrival) is None:
        name, dispatch = cluster.open_dispatches.pop()
        cluster.end_attempt(name, dispatch.attempt_id, Ending.LOST)
        for host in cluster.hosts.values():
            host.targets.states.clear()
    assert cluster.outcome(arrival) is Outcome.UNKNOWN


def test_no_dispatch_is_confirmed_after_a_pause_or_once_superseded(cluster):
    cluster.answers_immediately = False
    cluster.submit("quito-1", ID)
    name, dispatch = cluster.open_dispatches.pop()
    host = cluster.hosts[name]
    assert host.may_dispatch(cluster.now + 0.1, dispatch.attempt_id)
    assert not host.may_dispatch(cluster.now + 3.0, dispatch.attempt_id)
    host.is_superseded = True
    assert not host.may_dispatch(cluster.now + 0.1, dispatch.attempt_id)


def test_a_superseded_host_still_forwards_requests_to_their_owner(cluster):
    cluster.hosts["quito-2"].is_superseded = True
    arrival = cluster.submit("quito-2", ID)
    assert cluster.outcome(arrival) is Outcome.DONE


def test_a_request_cancelled_by_a_peer_is_not_retried(cluster):
    cluster.answers_immediately = False
    arrival = cluster.submit("quito-1", ID)
    name, dispatch = cluster.open_dispatches.pop()
    reason = Reason.CANCELLED
    cluster.end_attempt(
        name, dispatch.attempt_id, Ending.REFUSED, reason=reason
    )
    for _ in range(20):
        cluster.tick()
    assert cluster.outcome(arrival) is Outcome.NOT_RUN
    assert cluster.open_dispatches == []


def test_an_id_cancelled_before_it_arrives_is_never_executed(cluster):
    cluster.feed("quito-1", CancelArrived(ID))
    arrival = cluster.submit("quito-1", ID)
    assert cluster.outcome(arrival) is Outcome.NOT_RUN


def test_ids_of_a_replaced_incarnation_are_not_executed_again(cluster):
    cluster.submit("quito-1", ID)
    cluster.kill("quito-1")
    cluster.start("quito-1", incarnation=2)
    cluster.exchange_heartbeats()
    for name in ("quito-1", "quito-2"):
        arrival = cluster.submit(name, ID)
        assert cluster.answers[arrival].reason is Reason.OWNER_GONE
    assert cluster.executions == {ID: 1}


class PlatformTable:
    """Platform table that inserts rows only if their keys are absent."""

    def __init__(self):
        self.rows: dict[str, str] = {}

    def run_transaction(self, cluster, *, answers=True, fails=False):
        """Runs the oldest transaction of a cluster.

        Args:
            cluster: Cluster whose host called.
            answers: Whether the host receives the result.
            fails: Whether the writes have no effect.
        """
        name, call = cluster.transactions.pop(0)
        present = {k: self.rows[k] for k, _ in call.checks if k in self.rows}
        if not present and not fails:
            self.rows.update(call.writes)
        rows = tuple((k, 1, v) for k, v in present.items())
        ended = TransactionEnded(
            call.call_id, answers and not present, rows, failed=not answers
        )
        cluster.feed(name, ended)


def test_an_id_without_a_ticket_is_executed_by_the_host_that_claimed_it(
    cluster,
):
    table = PlatformTable()
    first = cluster.submit("quito-1", "order-9")
    second = cluster.submit("quito-2", "order-9")
    assert cluster.executions == {}
    table.run_transaction(cluster)
    table.run_transaction(cluster)
    assert cluster.outcome(first) is Outcome.DONE
    assert cluster.outcome(second) is Outcome.DONE
    assert cluster.executions == {"order-9": 1}


def test_a_claim_with_a_lost_answer_is_resolved_before_execution(cluster):
    table = PlatformTable()
    first = cluster.submit("quito-1", "order-9")
    table.run_transaction(cluster, answers=False)
    assert cluster.executions == {}
    cluster.tick(1.0)
    table.run_transaction(cluster)
    assert cluster.outcome(first) is Outcome.DONE
    other = cluster.submit("quito-2", "order-9")
    table.run_transaction(cluster)
    assert cluster.outcome(other) is Outcome.DONE
    assert cluster.executions == {"order-9": 1}


def test_without_the_platform_only_a_first_attempt_is_answered_not_run(cluster):
    table = PlatformTable()
    arrival = cluster.submit("quito-1", "order-9", is_first_attempt=True)
    table.run_transaction(cluster, answers=False)
    refused = cluster.submit("quito-1", "order-10", is_first_attempt=True)
    retried = cluster.submit("quito-1", "order-11")
    assert cluster.outcome(refused) is Outcome.NOT_RUN
    assert cluster.outcome(retried) is Outcome.UNKNOWN
    cluster.tick(6.0)
    assert cluster.outcome(arrival) is Outcome.NOT_RUN
    table.run_transaction(cluster)
    assert cluster.executions == {}


def test_an_abandoned_claim_executed_elsewhere_is_not_answered_not_run(cluster):
    table = PlatformTable()
    cluster.submit("quito-1", "order-9", is_first_attempt=True)
    table.run_transaction(cluster, answers=False, fails=True)
    cluster.submit("quito-2", "order-9")
    cluster.tick(6.0)
    while cluster.transactions:
        table.run_transaction(cluster)
    cluster.submit("quito-3", "order-9")
    while cluster.transactions:
        table.run_transaction(cluster)
    late = cluster.submit("quito-1", "order-9", is_first_attempt=True)
    assert cluster.outcome(late) is Outcome.UNKNOWN


def test_an_id_claimed_by_a_replaced_incarnation_is_not_executed_again(cluster):
    table = PlatformTable()
    cluster.submit("quito-1", "order-9")
    table.run_transaction(cluster)
    cluster.kill("quito-1")
    cluster.start("quito-1", incarnation=2)
    cluster.exchange_heartbeats()
    for name in ("quito-1", "quito-2"):
        arrival = cluster.submit(name, "order-9")
        table.run_transaction(cluster)
        assert cluster.answers[arrival].reason is Reason.OWNER_GONE
    assert cluster.executions == {"order-9": 1}


def test_one_claimed_id_does_not_block_the_rest_of_its_batch(cluster):
    table = PlatformTable()
    cluster.submit("quito-2", "order-1")
    table.run_transaction(cluster)
    cluster.submit("quito-1", "order-0")
    arrivals = [cluster.submit("quito-1", f"order-{i}") for i in (1, 2, 3)]
    while cluster.transactions:
        table.run_transaction(cluster)
    assert {cluster.outcome(a) for a in arrivals} == {Outcome.DONE}
    assert set(cluster.executions.values()) == {1}


def test_a_second_arrival_joins_a_pending_claim(cluster):
    cluster.submit("quito-1", "order-1")
    (exchange,) = cluster.hosts["quito-1"].claims.batch
    assert exchange.stage is Stage.CLAIMING
    event = RequestArrived(99, exchange.request)
    cluster.feed("quito-1", event)
    PlatformTable().run_transaction(cluster)
    assert cluster.answers[99] == cluster.answers[exchange.arrival_id]


def test_an_id_with_a_malformed_claim_is_not_blamed_on_the_platform(cluster):
    table = PlatformTable()
    table.rows["claim/order-9"] = "{"
    arrival = cluster.submit("quito-1", "order-9")
    table.run_transaction(cluster)
    assert cluster.outcome(arrival) is Outcome.UNKNOWN
    assert cluster.answers[arrival].reason is Reason.CLAIM_UNREADABLE
    assert cluster.executions == {}
