"""Loads of targets, by own responses and by what other hosts tell."""

import pytest
from sardinewheel_gateway.policy import load_news
from sardinewheel_gateway.policy.load_news import LoadItem
from sardinewheel_gateway.policy.loads import (
    MAX_BACKOFF_S,
    LoadTable,
    ReportedLoad,
    TargetLoad,
)

NOW = 1000.0


class Host:
    """A host with the loads that it knows."""

    def __init__(self):
        self.table = LoadTable()
        self.load = self.table.of("t1")

    def send(self, now):
        """Sends a request."""
        self.load.in_flight += 1
        self.table.record_dispatch("t1", now=now)

    def receive(self, running, waiting, now, *, was_executed=True):
        """Receives a response with a load report."""
        self.table.record_load_report(
            "t1",
            ReportedLoad(running, waiting, 3),
            now=now,
            was_executed=was_executed,
        )
        self.load.in_flight -= 1

    def tell(self, other, now):
        """Tells another host."""
        data = load_news.pack(self.table.news.take(), now)
        other.table.merge(data, now=now)


@pytest.fixture
def hosts():
    return Host(), Host()


def test_request_whose_response_reports_the_load_has_left(hosts):
    host, _ = hosts
    host.send(NOW)
    host.receive(3, 2, NOW + 0.2)
    assert host.load.estimate(NOW + 0.2) == 4.0


def test_rejected_request_is_not_in_the_reported_load(hosts):
    host, _ = hosts
    host.send(NOW)
    host.receive(3, 6, NOW + 0.1, was_executed=False)
    assert host.load.estimate(NOW + 0.1) == 9.0


def test_load_that_another_host_was_told_counts_here(hosts):
    host, other = hosts
    host.send(NOW)
    host.receive(3, 2, NOW + 0.2)
    host.tell(other, NOW + 0.2)
    assert other.load.estimate(NOW + 0.2) == pytest.approx(4.0, abs=0.01)


def test_own_requests_in_a_load_of_another_host_count_once(hosts):
    host, other = hosts
    other.send(NOW)
    host.send(NOW)
    host.receive(2, 0, NOW + 0.2)
    other.send(NOW + 0.25)
    host.tell(other, NOW + 0.3)
    assert other.load.estimate(NOW + 0.3) == 2.0


def test_requests_that_others_sent_after_the_report_count(hosts):
    host, other = hosts
    other.send(NOW)
    other.receive(1, 0, NOW + 0.1)
    host.send(NOW + 0.2)
    host.tell(other, NOW + 0.25)
    assert other.load.estimate(NOW + 0.25) == 1.0


def test_a_report_covers_the_requests_that_were_sent_before(hosts):
    host, other = hosts
    host.send(NOW)
    host.tell(other, NOW + 0.05)
    other.send(NOW + 0.06)
    other.receive(2, 0, NOW + 0.2)
    assert other.load.estimate(NOW + 0.2) == 1.0


def test_word_of_another_host_makes_no_old_slowdown_new(hosts):
    host, other = hosts
    other.load.record_load_report(ReportedLoad(1, 0, 3, 4.0), now=NOW)
    host.send(NOW + 4.0)
    host.receive(1, 0, NOW + 5.0)
    host.tell(other, NOW + 5.0)
    assert other.load.slowdown_at(NOW + 5.0) == pytest.approx(1.0, abs=0.01)


def test_older_word_of_another_host_changes_nothing(hosts):
    host, other = hosts
    host.send(NOW)
    host.receive(3, 6, NOW + 0.1)
    other.send(NOW + 0.1)
    other.receive(1, 0, NOW + 0.2)
    host.tell(other, NOW + 0.3)
    assert other.load.estimate(NOW + 0.3) == 0.0


def test_requests_of_a_host_that_fell_silent_are_forgotten(hosts):
    host, other = hosts
    for _ in range(5):
        host.send(NOW)
    host.tell(other, NOW + 0.1)
    assert other.load.estimate(NOW + 0.1) == 5.0
    assert other.load.estimate(NOW + 2.5) == 0.0


def test_news_of_a_target_that_is_not_known_are_passed_over(hosts):
    host, _ = hosts
    data = load_news.pack([LoadItem(7, NOW, 3)], NOW)
    host.table.merge(data, now=NOW)
    assert host.table.loads.keys() == {"t1"}


def test_a_target_that_was_forgotten_gets_no_old_news(hosts):
    host, _ = hosts
    host.table.forget("t1")
    key = load_news.target_key("t1")
    host.table.merge(load_news.pack([LoadItem(key, NOW, 9)], NOW), now=NOW)
    assert host.table.of("t1").estimate(NOW) == 0.0


def test_a_target_that_never_accepts_a_connection_keeps_the_longest_backoff():
    load = TargetLoad()
    backoffs_s = [load.record_failure(now=0.0) for _ in range(2000)]
    assert backoffs_s[-1] == MAX_BACKOFF_S
