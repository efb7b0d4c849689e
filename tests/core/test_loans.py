"""Loans: counterexamples of broken variants of the specification."""

import pytest
from sardinewheel_core.allowance import (
    LOAN_DURATION_S,
    QUARANTINE_S,
    Allowance,
    Loan,
)
from sardinewheel_core.effects import MessageArrived, Send
from sardinewheel_core.messages import LoanGranted, LoanReturned, LoanWanted

from tests.core.loaded_cluster import CAP, LoadedCluster

SHARE = 4
LENDABLE = 2


@pytest.fixture
def cluster():
    return LoadedCluster()


def loan_request(nonce, *, round=1, incarnation=1):
    return LoanWanted("austro", nonce, LENDABLE, incarnation, round)


def deliver(cluster, name, sender, message):
    """Delivers a message to a host; returns the messages it sends."""
    effects = cluster.feed(name, MessageArrived(sender, message))
    return [e.message for e in effects if isinstance(e, Send)]


def last_loan_request(cluster, name):
    """Returns the lender and message of a host's latest loan request."""
    requests = [
        (send.host, send.message)
        for sender, send in cluster.sent
        if sender == name and isinstance(send.message, LoanWanted)
    ]
    return requests[-1]


def test_a_busy_host_borrows_down_to_the_floor_of_the_others(cluster):
    cluster.service_time_range_s = (9.9, 9.9)
    cluster.loaded_hosts = {"a-1"}
    cluster.run(2.0)
    assert cluster.hosts["a-1"].allowance.in_flight == SHARE + 2 * LENDABLE
    cluster.loaded_hosts = {"a-1", "b-1"}
    cluster.run(2.0)
    assert cluster.hosts["b-1"].allowance.in_flight == SHARE - LENDABLE


def test_lent_units_return_after_the_longest_request_on_the_loan(cluster):
    cluster.service_time_range_s = (9.9, 9.9)
    cluster.loaded_hosts = {"a-1"}
    cluster.run(1.0)
    assert cluster.in_flight() > SHARE
    cluster.is_link_cut = lambda a, b: True
    cluster.loaded_hosts = {"a-1", "a-2", "b-1"}
    cluster.run(QUARANTINE_S + 5.0)
    assert cluster.max_in_flight <= CAP
    assert cluster.hosts["b-1"].allowance.limit(cluster.now) == SHARE


def test_the_duration_of_a_loan_counts_from_its_request(cluster):
    cluster.is_link_cut = lambda a, b: True
    cluster.loaded_hosts = {"a-1"}
    cluster.run(0.3)
    cluster.loaded_hosts = set()
    lender, request = last_loan_request(cluster, "a-1")
    cluster.run(LOAN_DURATION_S - 0.5)
    granted = LoanGranted(
        "austro",
        request.nonce,
        2,
        LOAN_DURATION_S,
        request.incarnation,
        request.round,
    )
    deliver(cluster, "a-1", lender, granted)
    assert cluster.hosts["a-1"].allowance.limit(cluster.now) == SHARE + 2
    cluster.run(0.5)
    assert cluster.hosts["a-1"].allowance.limit(cluster.now) == SHARE


def test_duplicate_grants_count_once_and_mismatched_grants_never(cluster):
    cluster.is_link_cut = lambda a, b: True
    cluster.loaded_hosts = {"a-1"}
    cluster.run(0.3)
    lender, request = last_loan_request(cluster, "a-1")
    granted = LoanGranted(
        "austro",
        request.nonce,
        2,
        LOAN_DURATION_S,
        request.incarnation,
        request.round,
    )
    limit = cluster.hosts["a-1"].allowance.limit
    deliver(cluster, "a-1", lender, granted._replace(nonce=10**6))
    deliver(cluster, "a-1", lender, granted._replace(incarnation=7))
    deliver(cluster, "a-1", lender, granted._replace(round=request.round - 1))
    deliver(cluster, "a-1", "stranger", granted)
    assert limit(cluster.now) == SHARE
    deliver(cluster, "a-1", lender, granted)
    deliver(cluster, "a-1", lender, granted)
    assert limit(cluster.now) == SHARE + 2


def test_a_repeated_request_extends_the_same_loan(cluster):
    first = deliver(cluster, "b-1", "a-1", loan_request(9, round=1))
    cluster.run(1.0)
    again = deliver(cluster, "b-1", "a-1", loan_request(9, round=2))
    assert [g.units for g in first + again] == [LENDABLE, LENDABLE]
    loan = next(iter(cluster.hosts["b-1"].allowance.lent.values()))
    assert loan.until == cluster.now + QUARANTINE_S


def test_loans_are_keyed_by_nonce_and_incarnation(cluster):
    cluster.hosts["b-1"].allowance.share = 8
    deliver(cluster, "b-1", "a-1", loan_request(9, incarnation=1))
    deliver(cluster, "b-1", "a-1", loan_request(9, incarnation=2))
    assert len(cluster.hosts["b-1"].allowance.lent) == 2
    deliver(cluster, "b-1", "a-1", LoanReturned("austro", 9, 2))
    deliver(cluster, "b-1", "a-1", LoanReturned("austro", 9, 2))
    (left,) = cluster.hosts["b-1"].allowance.lent
    assert left.incarnation == 1


def test_units_in_use_lent_borrowed_or_quarantined_are_not_lendable():
    allowance = Allowance(usable_from=10.0)
    allowance.share = 8
    allowance.borrowed[1] = Loan(5, 99.0)
    assert allowance.lendable_units(9.0) == 0
    assert allowance.lendable_units(10.0) == 4
    allowance.try_acquire(10.0, 7)
    assert allowance.lendable_units(10.0) == 1


def test_an_unused_loan_is_returned(cluster):
    cluster.service_time_range_s = (0.1, 0.2)
    cluster.loaded_hosts = {"a-1"}
    cluster.run(1.0)
    cluster.loaded_hosts = set()
    cluster.run(LOAN_DURATION_S)
    assert not cluster.hosts["a-1"].allowance.borrowed
    assert not cluster.hosts["b-1"].allowance.lent
