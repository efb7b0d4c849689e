"""Operators' changes: races, lost answers, retries."""

import pytest
from sardinewheel_core.change import (
    DefineRegion,
    SetCap,
    StartDrain,
)
from sardinewheel_core.configuration import change_key, decode_change
from sardinewheel_core.effects import ChangeStatusRequested, ProposalState
from sardinewheel_core.intent import Drain, Region, Subject
from sardinewheel_testing.fake_house import FakeHouse

AUSTRO = Region("austro", 40, ("cuenca-centro", "cuenca-taller"))


@pytest.fixture
def house():
    """Two hosts in two domains, with version 1 in force."""
    house = FakeHouse()
    house.start("centro-1", "cuenca-centro", seeds=("taller-1",))
    house.start("taller-1", "cuenca-taller", seeds=("centro-1",))
    house.propose("centro-1", "first", DefineRegion(AUSTRO))
    house.run(3.0)
    return house


def versions(house):
    return {
        name: host.configuration.version for name, host in house.hosts.items()
    }


def accepted_ids(house):
    """Returns the change ids of the table's rows, by version."""
    head = house.platform.rows["config/head"][0]
    rows = [house.platform.rows[change_key(v)] for v in range(1, head + 1)]
    return [decode_change(value).change_id for _, value in rows]


def test_loser_of_a_race_learns_the_winning_change(house):
    won = house.propose(
        "centro-1", "a", SetCap("austro", 50), author="ana", base_version=1
    )
    lost = house.propose(
        "taller-1", "b", SetCap("austro", 60), author="luz", base_version=1
    )
    house.run(1.0)
    assert house.ended[won].state is ProposalState.ACCEPTED
    ended = house.ended[lost]
    assert ended.state is ProposalState.CONFLICT
    assert (ended.winner.version, ended.winner.author) == (2, "ana")
    assert ended.winner.operations == (SetCap("austro", 50),)


def test_stale_base_is_told_what_came_after_it(house):
    house.propose("centro-1", "a", SetCap("austro", 50))
    house.run(3.0)
    lost = house.propose("taller-1", "b", SetCap("austro", 60), base_version=1)
    house.run(1.0)
    assert house.ended[lost].state is ProposalState.CONFLICT
    assert house.ended[lost].winner.change_id == "a"


def test_change_without_a_base_is_retried_on_top_of_the_winner(house):
    first = house.propose("centro-1", "a", SetCap("austro", 50))
    second = house.propose("taller-1", "b", SetCap("austro", 60))
    house.run(3.0)
    assert house.ended[first].version == 2
    assert house.ended[second].state is ProposalState.ACCEPTED
    assert house.ended[second].version == 3
    assert versions(house) == {"centro-1": 3, "taller-1": 3}


def test_change_that_no_longer_applies_is_a_conflict(house):
    drain = Drain(Subject.DOMAIN, "cuenca-taller")
    smaller = Region("austro", 40, ("cuenca-centro",))
    house.propose("centro-1", "a", DefineRegion(smaller), author="ana")
    lost = house.propose("taller-1", "b", StartDrain(drain))
    house.run(3.0)
    assert house.ended[lost].state is ProposalState.CONFLICT
    assert house.ended[lost].winner.author == "ana"


def test_lost_answer_is_settled_as_accepted(house):
    house.platform.lost_answers = 1
    number = house.propose("centro-1", "a", SetCap("austro", 50))
    house.run(5.0)
    assert house.ended[number].state is ProposalState.ACCEPTED
    assert house.ended[number].version == 2
    assert accepted_ids(house) == ["first", "a"]


def test_lost_answer_is_settled_after_others_moved_on(house):
    """The row of the change id tells, also when the head is far ahead."""
    house.platform.lost_answers = 1
    number = house.propose("centro-1", "a", SetCap("austro", 50))
    other = house.propose("taller-1", "b", SetCap("austro", 60))
    house.run(5.0)
    assert house.ended[number].version == 2
    assert house.ended[other].version == 3


def test_repeated_change_id_creates_one_version(house):
    house.platform.lost_answers = 1
    house.propose("centro-1", "a", SetCap("austro", 50))
    house.kill("centro-1")
    again = house.propose("taller-1", "a", SetCap("austro", 50))
    house.run(5.0)
    late = house.propose("taller-1", "a", SetCap("austro", 50))
    assert house.ended[again].state is ProposalState.ACCEPTED
    assert house.ended[late].version == house.ended[again].version == 2
    assert accepted_ids(house) == ["first", "a"]


def test_change_id_of_another_change_is_rejected(house):
    house.propose("centro-1", "a", SetCap("austro", 50))
    other = house.propose("taller-1", "a", SetCap("austro", 70))
    house.run(5.0)
    assert house.ended[other].state is ProposalState.REJECTED
    assert house.ended[other].findings[0].place == "change_id"


def test_unknown_only_while_the_platform_stays_away(house):
    house.platform.is_down = True
    number = house.propose("centro-1", "a", SetCap("austro", 50))
    house.run(9.0)
    assert number not in house.ended
    house.run(2.0)
    assert house.ended[number].state is ProposalState.UNKNOWN
    house.platform.is_down = False
    house.feed("taller-1", ChangeStatusRequested(99, "a"))
    house.run(1.0)
    assert house.ended[99].state is ProposalState.ABSENT


def test_base_ahead_of_this_host_is_caught_up_first(house):
    house.is_cut = lambda a, b: True
    house.propose("centro-1", "a", SetCap("austro", 50))
    house.run(0.2)
    number = house.propose(
        "taller-1", "b", SetCap("austro", 60), base_version=2
    )
    far = house.propose("taller-1", "c", SetCap("austro", 60), base_version=9)
    house.run(2.0)
    assert house.ended[number].state is ProposalState.ACCEPTED
    assert house.ended[far].findings[0].place == "base_version"


def test_absent_change_id_is_not_final_while_its_transaction_may_arrive(house):
    """Counterexample of specs/configuration.py: told no, then accepted."""
    house.platform.holds_transactions = True
    number = house.propose("centro-1", "a", SetCap("austro", 50))
    house.run(3.0)
    assert number not in house.ended
    house.platform.holds_transactions = False
    house.platform.release()
    house.run(3.0)
    assert house.ended[number].state is ProposalState.ACCEPTED
    assert accepted_ids(house) == ["first", "a"]


def test_late_transaction_does_not_rewrite_a_version(house):
    """Counterexample of specs/configuration.py: accepted on any version."""
    house.platform.holds_transactions = True
    house.propose("centro-1", "a", SetCap("austro", 50), base_version=1)
    house.platform.holds_transactions = False
    house.propose("taller-1", "b", SetCap("austro", 60))
    house.run(1.0)
    house.platform.release()
    house.run(3.0)
    assert accepted_ids(house) == ["first", "b"]
