"""Handover of request ids at a planned stop.

No id is executed twice and no request is interrupted.
"""

import pytest
from sardinewheel_core.attempt import Ending
from sardinewheel_core.messages import OutcomesHandedOn
from sardinewheel_core.request import Outcome
from sardinewheel_core.stopping import LINGER_S

from tests.core.cluster import Cluster

ID = "quito-1~1~0~order-17"


@pytest.fixture
def cluster():
    return Cluster()


def stop_and_wait(cluster, name="quito-1"):
    cluster.stop(name)
    for _ in range(int(LINGER_S / 0.1) + 4):
        cluster.tick()


def test_the_successor_answers_for_executed_ids(cluster):
    cluster.submit("quito-1", ID)
    stop_and_wait(cluster)
    assert "quito-1" in cluster.exited
    cluster.kill("quito-1")
    cluster.tick(4.0)
    for name in ("quito-2", "quito-3"):
        assert cluster.outcome(cluster.submit(name, ID)) is Outcome.DONE
    assert cluster.executions == {ID: 1}


def test_the_successor_executes_new_ids_of_the_stopped_host_once(cluster):
    stop_and_wait(cluster)
    at_stopped_host = cluster.submit("quito-1", ID)
    cluster.kill("quito-1")
    cluster.start("quito-1", incarnation=2)
    cluster.exchange_heartbeats()
    again = [cluster.submit(name, ID) for name in cluster.hosts]
    outcomes = {cluster.outcome(a) for a in (at_stopped_host, *again)}
    assert outcomes == {Outcome.DONE}
    assert cluster.executions == {ID: 1}


def test_the_outcome_of_a_request_in_flight_is_handed_over(cluster):
    cluster.answers_immediately = False
    arrival = cluster.submit("quito-1", ID)
    stop_and_wait(cluster)
    assert "quito-1" not in cluster.exited
    successor = cluster.hosts["quito-1"].handover.successor
    name, dispatch = cluster.open_dispatches.pop()
    cluster.end_attempt(name, dispatch.attempt_id)
    assert cluster.outcome(arrival) is Outcome.DONE
    stop_and_wait(cluster)
    assert "quito-1" in cluster.exited
    cluster.kill("quito-1")
    cluster.tick(4.0)
    assert cluster.outcome(cluster.submit(successor, ID)) is Outcome.DONE
    assert cluster.executions == {ID: 1}


def test_an_id_that_arrives_during_the_handover_is_executed_once(cluster):
    cluster.holds_messages = True
    cluster.stop("quito-1")
    arrival = cluster.submit("quito-1", ID)
    assert cluster.outcome(arrival) is None
    cluster.holds_messages = False
    cluster.tick()
    assert cluster.outcome(arrival) is Outcome.DONE
    assert cluster.executions == {ID: 1}


def test_a_replaced_successor_ignores_redelivered_outcomes(cluster):
    cluster.holds_messages = True
    cluster.stop("quito-1")
    parts = [
        m for m in cluster.undelivered if isinstance(m[2], OutcomesHandedOn)
    ]
    successor = parts[0][1]
    cluster.holds_messages = False
    cluster.deliver()
    cluster.submit("quito-1", ID)
    assert cluster.executions == {ID: 1}
    cluster.kill(successor)
    cluster.start(successor, incarnation=2)
    cluster.exchange_heartbeats()
    cluster.undelivered = parts
    cluster.deliver()
    assert cluster.outcome(cluster.submit(successor, ID)) is Outcome.UNKNOWN
    assert cluster.executions == {ID: 1}


def test_an_unacknowledged_handover_ends_without_executing_requests(cluster):
    cluster.holds_messages = True
    cluster.stop("quito-1")
    arrival = cluster.submit("quito-1", ID)
    cluster.undelivered.clear()
    for _ in range(6):
        cluster.tick(1.0)
    assert cluster.outcome(arrival) is Outcome.UNKNOWN
    assert "quito-1" in cluster.exited
    assert cluster.executions == {}


def test_the_successor_keeps_answering_not_run(cluster):
    cluster.answers_immediately = False
    arrival = cluster.submit("quito-1", ID)
    while cluster.outcome(arrival) is None:
        while cluster.open_dispatches:
            name, dispatch = cluster.open_dispatches.pop()
            cluster.end_attempt(name, dispatch.attempt_id, Ending.REFUSED)
        cluster.tick()
    assert cluster.outcome(arrival) is Outcome.NOT_RUN
    ran = cluster.executions[ID]
    cluster.answers_immediately = True
    stop_and_wait(cluster)
    cluster.kill("quito-1")
    cluster.tick(4.0)
    assert cluster.outcome(cluster.submit("quito-2", ID)) is Outcome.NOT_RUN
    assert cluster.executions[ID] == ran
