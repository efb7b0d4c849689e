"""A planned stop hands ids on; none runs twice, none is cut."""

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


def leave(cluster, name="quito-1"):
    cluster.stop(name)
    for _ in range(int(LINGER_S / 0.1) + 4):
        cluster.tick()


def test_the_successor_answers_for_ids_that_ran(cluster):
    cluster.ask("quito-1", ID)
    leave(cluster)
    assert "quito-1" in cluster.exited
    cluster.kill("quito-1")
    cluster.tick(4.0)
    for name in ("quito-2", "quito-3"):
        assert cluster.outcome(cluster.ask(name, ID)) is Outcome.DONE
    assert cluster.executions == {ID: 1}


def test_the_successor_runs_new_ids_of_the_stopped_host_once(cluster):
    leave(cluster)
    at_leaver = cluster.ask("quito-1", ID)
    cluster.kill("quito-1")
    cluster.start("quito-1", incarnation=2)
    cluster.introduce()
    again = [cluster.ask(name, ID) for name in cluster.hosts]
    outcomes = {cluster.outcome(a) for a in (at_leaver, *again)}
    assert outcomes == {Outcome.DONE}
    assert cluster.executions == {ID: 1}


def test_a_request_in_flight_ends_and_its_end_is_handed_on(cluster):
    cluster.answers_at_once = False
    arrival = cluster.ask("quito-1", ID)
    leave(cluster)
    assert "quito-1" not in cluster.exited
    successor = cluster.hosts["quito-1"].handover.successor
    name, dispatch = cluster.open.pop()
    cluster.end(name, dispatch.attempt_id)
    assert cluster.outcome(arrival) is Outcome.DONE
    leave(cluster)
    assert "quito-1" in cluster.exited
    cluster.kill("quito-1")
    cluster.tick(4.0)
    assert cluster.outcome(cluster.ask(successor, ID)) is Outcome.DONE
    assert cluster.executions == {ID: 1}


def test_an_id_that_arrives_during_the_handover_runs_once(cluster):
    cluster.holds_mail = True
    cluster.stop("quito-1")
    arrival = cluster.ask("quito-1", ID)
    assert cluster.outcome(arrival) is None
    cluster.holds_mail = False
    cluster.tick()
    assert cluster.outcome(arrival) is Outcome.DONE
    assert cluster.executions == {ID: 1}


def test_a_replaced_successor_does_not_take_repeated_records(cluster):
    cluster.holds_mail = True
    cluster.stop("quito-1")
    parts = [m for m in cluster.mail if isinstance(m[2], OutcomesHandedOn)]
    successor = parts[0][1]
    cluster.holds_mail = False
    cluster.deliver()
    cluster.ask("quito-1", ID)
    assert cluster.executions == {ID: 1}
    cluster.kill(successor)
    cluster.start(successor, incarnation=2)
    cluster.introduce()
    cluster.mail = parts
    cluster.deliver()
    assert cluster.outcome(cluster.ask(successor, ID)) is Outcome.UNKNOWN
    assert cluster.executions == {ID: 1}


def test_an_unconfirmed_handover_ends_and_runs_nothing(cluster):
    cluster.holds_mail = True
    cluster.stop("quito-1")
    arrival = cluster.ask("quito-1", ID)
    cluster.mail.clear()
    for _ in range(6):
        cluster.tick(1.0)
    assert cluster.outcome(arrival) is Outcome.UNKNOWN
    assert "quito-1" in cluster.exited
    assert cluster.executions == {}


def test_a_not_run_id_stays_so_at_the_successor(cluster):
    cluster.answers_at_once = False
    arrival = cluster.ask("quito-1", ID)
    while cluster.outcome(arrival) is None:
        while cluster.open:
            name, dispatch = cluster.open.pop()
            cluster.end(name, dispatch.attempt_id, Ending.REFUSED)
        cluster.tick()
    assert cluster.outcome(arrival) is Outcome.NOT_RUN
    ran = cluster.executions[ID]
    cluster.answers_at_once = True
    leave(cluster)
    cluster.kill("quito-1")
    cluster.tick(4.0)
    assert cluster.outcome(cluster.ask("quito-2", ID)) is Outcome.NOT_RUN
    assert cluster.executions[ID] == ran
