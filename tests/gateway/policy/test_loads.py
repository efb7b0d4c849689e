"""Load estimates, and what hosts tell each other about failing targets."""

import random

from sardinewheel_gateway.policy.loads import (
    FIRST_BACKOFF_S,
    RECENT_ANSWER_S,
    SILENT_FAILURES,
    HealthNews,
    LoadBook,
    ReportedLoad,
)


def test_a_report_counts_what_other_hosts_have_there():
    load = LoadBook().of("t1")
    load.in_flight = 2
    load.report(ReportedLoad(3, 4, 3), now=1.0)
    assert load.estimate(1.0) == 2 + 6


def test_one_long_request_is_told_to_nobody():
    book = LoadBook()
    book.silent("t1", now=1.0)
    assert book.take_news() == []
    for n in range(1, SILENT_FAILURES):
        book.silent("t1", now=1.0 + n)
    news = book.take_news()
    assert [item.failures for item in news] == [SILENT_FAILURES]


def test_a_target_that_nobody_can_connect_to_is_told_at_once():
    book = LoadBook()
    book.unreachable("t1", now=1.0)
    assert book.take_news() == [HealthNews("t1", 1, FIRST_BACKOFF_S)]
    assert book.take_news() == []


def test_who_was_told_leaves_the_target_alone_and_tells_nobody():
    book = LoadBook()
    book.told(HealthNews("t1", 2, 0.8), delay=1.5, now=1.0)
    assert book.of("t1").is_down(2.1)
    assert not book.of("t1").is_down(2.3)
    book.unreachable("t1", now=1.1)
    assert book.take_news() == []


def test_own_recent_answers_go_before_word_of_others():
    book = LoadBook()
    book.answered("t1", is_error=False, now=1.0)
    told = HealthNews("t1", 2, 0.8)
    book.told(told, delay=1.0, now=1.0 + RECENT_ANSWER_S / 2)
    assert not book.of("t1").is_down(1.3)


def test_a_target_that_answers_again_is_told():
    book, other = LoadBook(), LoadBook()
    book.unreachable("t1", now=1.0)
    other.told(book.take_news()[0], delay=1.0, now=1.0)
    book.answered("t1", is_error=False, now=1.2)
    other.told(book.take_news()[0], delay=1.0, now=1.2)
    assert not other.of("t1").is_down(1.2)


def test_hosts_together_try_a_dead_target_rarely():
    rng = random.Random(7)
    books = [LoadBook() for _ in range(11)]
    tries = 0
    for step in range(1000):
        now = 10.0 + step / 100
        for book in books:
            if not book.of("t1").is_down(now) and rng.random() < 0.1:
                tries += 1
                book.unreachable("t1", now=now)
        if step % 25 == 0:
            told = [item for book in books for item in book.take_news()]
            for book in books:
                for item in told:
                    delay = 1.0 + rng.random()
                    book.told(item, delay=delay, now=now)
    assert tries < 4 * len(books)
