"""Operators' change proposals: races, lost answers and retries."""

import pytest
from sardinewheel_core.change import (
    DefineRegion,
    SetCap,
    StartDrain,
)
from sardinewheel_core.configuration import change_key, decode_change
from sardinewheel_core.effects import ChangeStatusRequested, ProposalState
from sardinewheel_core.intent import Drain, Region, Subject
from sardinewheel_testing.fake_cluster import TICK_S, FakeCluster

AUSTRO = Region("austro", 40, ("cuenca-centro", "cuenca-taller"))


@pytest.fixture
def cluster():
    """Two hosts in two domains, with version 1 in force."""
    cluster = FakeCluster()
    cluster.start("centro-1", "cuenca-centro", seeds=("taller-1",))
    cluster.start("taller-1", "cuenca-taller", seeds=("centro-1",))
    cluster.propose("centro-1", "first", DefineRegion(AUSTRO))
    cluster.run(3.0)
    return cluster


def versions(cluster):
    return {
        name: host.configuration.version for name, host in cluster.hosts.items()
    }


def accepted_ids(cluster):
    """Returns the change ids of the table's rows, ordered by version."""
    head = cluster.platform.rows["config/head"][0]
    rows = [cluster.platform.rows[change_key(v)] for v in range(1, head + 1)]
    return [decode_change(value).change_id for _, value in rows]


def test_conflicting_proposal_returns_the_winning_change(cluster):
    won = cluster.propose(
        "centro-1", "a", SetCap("austro", 50), author="ana", base_version=1
    )
    lost = cluster.propose(
        "taller-1", "b", SetCap("austro", 60), author="luz", base_version=1
    )
    cluster.run(1.0)
    assert cluster.ended[won].state is ProposalState.ACCEPTED
    ended = cluster.ended[lost]
    assert ended.state is ProposalState.CONFLICT
    assert (ended.winner.version, ended.winner.author) == (2, "ana")
    assert ended.winner.operations == (SetCap("austro", 50),)


def test_conflict_is_reported_with_the_winning_change_in_force(cluster):
    """An operator who reads the version there next finds the winner's."""
    cluster.is_link_cut = lambda sender, receiver: True
    cluster.propose("centro-1", "a", SetCap("austro", 50), base_version=1)
    lost = cluster.propose(
        "taller-1", "b", SetCap("austro", 60), base_version=1
    )
    while lost not in cluster.ended:
        cluster.run(TICK_S)
    assert cluster.ended[lost].state is ProposalState.CONFLICT
    assert versions(cluster)["taller-1"] == 2


def test_stale_base_version_returns_the_change_after_it(cluster):
    cluster.propose("centro-1", "a", SetCap("austro", 50))
    cluster.run(3.0)
    lost = cluster.propose(
        "taller-1", "b", SetCap("austro", 60), base_version=1
    )
    cluster.run(1.0)
    assert cluster.ended[lost].state is ProposalState.CONFLICT
    assert cluster.ended[lost].winner.change_id == "a"


def test_change_without_a_base_is_retried_on_top_of_the_winner(cluster):
    first = cluster.propose("centro-1", "a", SetCap("austro", 50))
    second = cluster.propose("taller-1", "b", SetCap("austro", 60))
    cluster.run(3.0)
    assert cluster.ended[first].version == 2
    assert cluster.ended[second].state is ProposalState.ACCEPTED
    assert cluster.ended[second].version == 3
    assert versions(cluster) == {"centro-1": 3, "taller-1": 3}


def test_change_that_no_longer_applies_is_a_conflict(cluster):
    drain = Drain(Subject.DOMAIN, "cuenca-taller")
    smaller = Region("austro", 40, ("cuenca-centro",))
    cluster.propose("centro-1", "a", DefineRegion(smaller), author="ana")
    lost = cluster.propose("taller-1", "b", StartDrain(drain))
    cluster.run(3.0)
    assert cluster.ended[lost].state is ProposalState.CONFLICT
    assert cluster.ended[lost].winner.author == "ana"


def test_lost_answer_is_resolved_as_accepted(cluster):
    cluster.platform.lost_responses = 1
    number = cluster.propose("centro-1", "a", SetCap("austro", 50))
    cluster.run(5.0)
    assert cluster.ended[number].state is ProposalState.ACCEPTED
    assert cluster.ended[number].version == 2
    assert accepted_ids(cluster) == ["first", "a"]


def test_lost_answer_is_resolved_after_later_changes(cluster):
    """The result is read from the change id row despite later versions."""
    cluster.platform.lost_responses = 1
    number = cluster.propose("centro-1", "a", SetCap("austro", 50))
    other = cluster.propose("taller-1", "b", SetCap("austro", 60))
    cluster.run(5.0)
    assert cluster.ended[number].version == 2
    assert cluster.ended[other].version == 3


def test_repeated_change_id_creates_one_version(cluster):
    cluster.platform.lost_responses = 1
    cluster.propose("centro-1", "a", SetCap("austro", 50))
    cluster.kill("centro-1")
    again = cluster.propose("taller-1", "a", SetCap("austro", 50))
    cluster.run(5.0)
    late = cluster.propose("taller-1", "a", SetCap("austro", 50))
    assert cluster.ended[again].state is ProposalState.ACCEPTED
    assert cluster.ended[late].version == cluster.ended[again].version == 2
    assert accepted_ids(cluster) == ["first", "a"]


def test_change_id_of_another_change_is_rejected(cluster):
    cluster.propose("centro-1", "a", SetCap("austro", 50))
    other = cluster.propose("taller-1", "a", SetCap("austro", 70))
    cluster.run(5.0)
    assert cluster.ended[other].state is ProposalState.REJECTED
    assert cluster.ended[other].findings[0].place == "change_id"


def test_state_is_unknown_only_while_the_platform_is_unavailable(cluster):
    cluster.platform.is_down = True
    number = cluster.propose("centro-1", "a", SetCap("austro", 50))
    cluster.run(9.0)
    assert number not in cluster.ended
    cluster.run(2.0)
    assert cluster.ended[number].state is ProposalState.UNKNOWN
    cluster.platform.is_down = False
    cluster.feed("taller-1", ChangeStatusRequested(99, "a"))
    cluster.run(1.0)
    assert cluster.ended[99].state is ProposalState.ABSENT


def test_host_catches_up_with_a_base_version_ahead_of_its_own(cluster):
    cluster.is_link_cut = lambda a, b: True
    cluster.propose("centro-1", "a", SetCap("austro", 50))
    cluster.run(0.2)
    number = cluster.propose(
        "taller-1", "b", SetCap("austro", 60), base_version=2
    )
    far = cluster.propose("taller-1", "c", SetCap("austro", 60), base_version=9)
    cluster.run(2.0)
    assert cluster.ended[number].state is ProposalState.ACCEPTED
    assert cluster.ended[far].findings[0].place == "base_version"


def test_absent_change_id_is_not_final_while_its_transaction_may_arrive(
    cluster,
):
    """Counterexample of specs/configuration.py.

    A change is reported as absent and accepted afterwards.
    """
    cluster.platform.holds_transactions = True
    number = cluster.propose("centro-1", "a", SetCap("austro", 50))
    cluster.run(3.0)
    assert number not in cluster.ended
    cluster.platform.holds_transactions = False
    cluster.platform.release()
    cluster.run(3.0)
    assert cluster.ended[number].state is ProposalState.ACCEPTED
    assert accepted_ids(cluster) == ["first", "a"]


def test_delayed_transaction_does_not_rewrite_a_version(cluster):
    """Counterexample of specs/configuration.py.

    A change is accepted whatever the version at the head.
    """
    cluster.platform.holds_transactions = True
    cluster.propose("centro-1", "a", SetCap("austro", 50), base_version=1)
    cluster.platform.holds_transactions = False
    cluster.propose("taller-1", "b", SetCap("austro", 60))
    cluster.run(1.0)
    cluster.platform.release()
    cluster.run(3.0)
    assert accepted_ids(cluster) == ["first", "b"]
