"""The store's tables are followed, also when it was away."""

import json

import pytest
from sardinewheel_gateway.errors import StoreError
from sardinewheel_gateway.policy.updates import NO_POSITION
from sardinewheel_platform.feeds import Decoder, TableFeed
from sardinewheel_platform.store import Page, Row

from tests.platform.test_records import CONFIGURATION, TARGET


class FakeNews:
    """Keeps what it is told."""

    def __init__(self):
        self.told = []
        self.log = self

    def __getattr__(self, name):
        def tell(*args, **_fields):
            self.told.append((name, *args))

        return tell

    def names(self):
        return [entry[0] for entry in self.told]


class FakeStore:
    """Answers with a script of pages and errors."""

    def __init__(self, *script):
        self.script = list(script)
        self.calls = []

    def read(self, table):
        self.calls.append(("read", table))
        return self._next()

    def changes(self, table, after, *, wait_s):
        self.calls.append(("changes", table, after))
        return self._next()

    def _next(self):
        answer = self.script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def feed(*script, position=NO_POSITION):
    news = FakeNews()
    decoded = []

    def decode(page, before):
        decoded.append((page.rows, before))
        return "update"

    made = TableFeed(
        FakeStore(*script),
        "servers",
        position=lambda: position,
        decode=decode,
        news=news,
    )
    return made, news, decoded


ROW = Row("a", 9, b"x")


def test_a_table_is_read_whole_and_then_followed():
    made, _, decoded = feed(Page([], 4), Page([ROW], 9), Page([], 9))
    for _ in range(3):
        made.step()
    assert made.store.calls == [
        ("read", "servers"),
        ("changes", "servers", 4),
        ("changes", "servers", 9),
    ]
    assert decoded == [([], NO_POSITION), ([ROW], 4)]


def test_what_other_hosts_told_is_not_asked_again():
    made, _, _ = feed(Page([], 4), Page([], 30), position=20)
    made.step()
    made.step()
    assert made.store.calls[-1] == ("changes", "servers", 20)


def fail(made):
    with pytest.raises(StoreError) as caught:
        made.step()
    made.failed(caught.value)


def test_an_outage_is_logged_once_and_the_feed_goes_on_where_it_was():
    made, news, _ = feed(
        Page([], 4), StoreError("a"), StoreError("b"), Page([], 5)
    )
    made.step()
    fail(made)
    fail(made)
    made.step()
    assert news.names() == [
        "heard_from_store",
        "store_answers",
        "source_lost",
        "source_returned",
        "registry_returned",
        "store_answers",
    ]
    assert made.store.calls[-1] == ("changes", "servers", 4)


def test_lost_history_means_the_whole_table_again():
    lost = StoreError("gone", is_history_lost=True)
    made, _, decoded = feed(Page([], 4), lost, Page([], 30))
    made.step()
    fail(made)
    made.step()
    assert made.store.calls[-1] == ("read", "servers")
    assert decoded == [([], NO_POSITION), ([], NO_POSITION)]


def value(plain):
    return json.dumps(plain).encode()


class Evacuated(FakeNews):
    """News that already know an evacuation."""

    evacuated = frozenset({"north-b"})


def test_operators_rows_become_a_configuration_and_evacuations():
    rows = [
        Row("config", 8, value(CONFIGURATION)),
        Row("evacuate/north-a", 9, b"{}"),
    ]
    update = Decoder(Evacuated()).operators(Page(rows, 30), 5).operators
    assert update.configuration.version == 7
    assert update.evacuated == {"north-a", "north-b"}
    assert update.after == 9


def test_an_evacuation_taken_back_ends():
    rows = [Row("evacuate/north-b", 9, None)]
    update = Decoder(Evacuated()).operators(Page(rows, 9), 5).operators
    assert update.evacuated == frozenset()


def test_an_evacuation_taken_back_while_away_is_not_kept():
    page = Page([], 30)
    update = Decoder(Evacuated()).operators(page, NO_POSITION).operators
    assert update.evacuated == frozenset()
    assert update.after == 30


def test_an_entry_that_turned_unreadable_names_no_target():
    news = FakeNews()
    rows = [Row("t1", 8, value(TARGET)), Row("t2", 9, b"\xff")]
    update = Decoder(news).targets(Page(rows, 9), 5).targets
    assert [(c.target_id, c.record is None) for c in update.changes] == [
        ("t1", False),
        ("t2", True),
    ]
    assert news.names() == ["warning"]
