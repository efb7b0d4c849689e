"""Loans: each run that refutes a broken variant of the specification."""

import pytest
from sardinewheel_core.allowance import (
    LOAN_DURATION_S,
    QUARANTINE_S,
    Allowance,
    Loan,
)
from sardinewheel_core.effects import MessageArrived, Send
from sardinewheel_core.messages import LoanGranted, LoanReturned, LoanWanted

from tests.core.loaded_house import CAP, LoadedHouse

SHARE = 4
LENDABLE = 2


@pytest.fixture
def house():
    return LoadedHouse()


def wanted(nonce, *, round=1, incarnation=1):
    return LoanWanted("austro", nonce, LENDABLE, incarnation, round)


def give(house, name, sender, message):
    """Hands a message to a host; returns what it sends."""
    effects = house.feed(name, MessageArrived(sender, message))
    return [e.message for e in effects if isinstance(e, Send)]


def ask_of(house, name):
    """Returns the latest loan that a host asked for, and whom."""
    asks = [
        (send.host, send.message)
        for sender, send in house.sent
        if sender == name and isinstance(send.message, LoanWanted)
    ]
    return asks[-1]


def test_a_busy_host_borrows_down_to_the_floor_of_the_others(house):
    house.service_s = (9.9, 9.9)
    house.loaded = {"a-1"}
    house.run(2.0)
    assert house.hosts["a-1"].allowance.in_flight == SHARE + 2 * LENDABLE
    house.loaded = {"a-1", "b-1"}
    house.run(2.0)
    assert house.hosts["b-1"].allowance.in_flight == SHARE - LENDABLE


def test_units_come_back_after_the_longest_request_on_the_loan(house):
    house.service_s = (9.9, 9.9)
    house.loaded = {"a-1"}
    house.run(1.0)
    assert house.in_flight() > SHARE
    house.is_cut = lambda a, b: True
    house.loaded = {"a-1", "a-2", "b-1"}
    house.run(QUARANTINE_S + 5.0)
    assert house.most <= CAP
    assert house.hosts["b-1"].allowance.limit(house.now) == SHARE


def test_a_late_grant_counts_from_asking(house):
    house.is_cut = lambda a, b: True
    house.loaded = {"a-1"}
    house.run(0.3)
    house.loaded = set()
    lender, ask = ask_of(house, "a-1")
    house.run(LOAN_DURATION_S - 0.5)
    granted = LoanGranted(
        "austro", ask.nonce, 2, LOAN_DURATION_S, ask.incarnation, ask.round
    )
    give(house, "a-1", lender, granted)
    assert house.hosts["a-1"].allowance.limit(house.now) == SHARE + 2
    house.run(0.5)
    assert house.hosts["a-1"].allowance.limit(house.now) == SHARE


def test_a_doubled_or_strange_grant_counts_once_or_never(house):
    house.is_cut = lambda a, b: True
    house.loaded = {"a-1"}
    house.run(0.3)
    lender, ask = ask_of(house, "a-1")
    granted = LoanGranted(
        "austro", ask.nonce, 2, LOAN_DURATION_S, ask.incarnation, ask.round
    )
    limit = house.hosts["a-1"].allowance.limit
    give(house, "a-1", lender, granted._replace(nonce=10**6))
    give(house, "a-1", lender, granted._replace(incarnation=7))
    give(house, "a-1", lender, granted._replace(round=ask.round - 1))
    give(house, "a-1", "stranger", granted)
    assert limit(house.now) == SHARE
    give(house, "a-1", lender, granted)
    give(house, "a-1", lender, granted)
    assert limit(house.now) == SHARE + 2


def test_a_repeated_ask_lends_the_same_units_for_longer(house):
    first = give(house, "b-1", "a-1", wanted(9, round=1))
    house.run(1.0)
    again = give(house, "b-1", "a-1", wanted(9, round=2))
    assert [g.units for g in first + again] == [LENDABLE, LENDABLE]
    loan = next(iter(house.hosts["b-1"].allowance.lent.values()))
    assert loan.until == house.now + QUARANTINE_S


def test_a_loan_number_of_another_incarnation_is_another_loan(house):
    house.hosts["b-1"].allowance.share = 8
    give(house, "b-1", "a-1", wanted(9, incarnation=1))
    give(house, "b-1", "a-1", wanted(9, incarnation=2))
    assert len(house.hosts["b-1"].allowance.lent) == 2
    give(house, "b-1", "a-1", LoanReturned("austro", 9, 2))
    give(house, "b-1", "a-1", LoanReturned("austro", 9, 2))
    (left,) = house.hosts["b-1"].allowance.lent
    assert left.incarnation == 1


def test_what_is_in_use_lent_borrowed_or_quarantined_is_not_lent():
    allowance = Allowance(usable_from=10.0)
    allowance.share = 8
    allowance.borrowed[1] = Loan(5, 99.0)
    assert allowance.lendable(9.0) == 0
    assert allowance.lendable(10.0) == 4
    allowance.try_acquire(10.0, 7)
    assert allowance.lendable(10.0) == 1


def test_a_loan_that_is_not_needed_is_returned(house):
    house.service_s = (0.1, 0.2)
    house.loaded = {"a-1"}
    house.run(1.0)
    house.loaded = set()
    house.run(LOAN_DURATION_S)
    assert not house.hosts["a-1"].allowance.borrowed
    assert not house.hosts["b-1"].allowance.lent
