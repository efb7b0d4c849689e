"""Tests of table feeds, including outages of the store."""

import json

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway.errors import StoreError
from sardinewheel_gateway.policy.updates import (
    NO_POSITION,
    from_plain,
    to_plain,
)
from sardinewheel_platform.feeds import TableFeed, UpdateDecoder
from sardinewheel_platform.store import Page, Row

from tests.odd_values import TEXT_OF_ANY_CHARACTERS
from tests.platform.test_records import CONFIGURATION, TARGET


class FakeStoreSync:
    """Records the names and arguments of all calls."""

    def __init__(self):
        self.recorded = []
        self.log = self

    def __getattr__(self, name):
        def record(*args, **_fields):
            self.recorded.append((name, *args))

        return record

    def names(self):
        return [entry[0] for entry in self.recorded]


class FakeStore:
    """Returns or raises the given pages and errors in order."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.calls = []

    def read(self, table):
        self.calls.append(("read", table))
        return self._next()

    def changes(self, table, after, *, wait_s):
        self.calls.append(("changes", table, after))
        return self._next()

    def _next(self):
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response


def make_feed(*responses, position=NO_POSITION):
    sync = FakeStoreSync()
    decoded = []

    def decode(page, before):
        decoded.append((page.rows, before))
        return "update"

    feed = TableFeed(
        FakeStore(*responses),
        "servers",
        position=lambda: position,
        decode=decode,
        sync=sync,
    )
    return feed, sync, decoded


ROW = Row("a", 9, b"x")


def test_table_is_read_in_full_once_and_then_polled_for_changes():
    feed, _, decoded = make_feed(Page([], 4), Page([ROW], 9), Page([], 9))
    for _ in range(3):
        feed.poll()
    assert feed.store.calls == [
        ("read", "servers"),
        ("changes", "servers", 4),
        ("changes", "servers", 9),
    ]
    assert decoded == [([], NO_POSITION), ([ROW], 4)]


def test_changes_received_from_other_hosts_are_not_requested_again():
    feed, _, _ = make_feed(Page([], 4), Page([], 30), position=20)
    feed.poll()
    feed.poll()
    assert feed.store.calls[-1] == ("changes", "servers", 20)


def poll_and_record_failure(feed):
    with pytest.raises(StoreError) as caught:
        feed.poll()
    feed.record_failure(caught.value)


def test_outage_is_reported_once_and_the_feed_resumes_at_its_version():
    feed, sync, _ = make_feed(
        Page([], 4), StoreError("a"), StoreError("b"), Page([], 5)
    )
    feed.poll()
    poll_and_record_failure(feed)
    poll_and_record_failure(feed)
    feed.poll()
    assert sync.names() == [
        "apply_store_update",
        "record_store_response",
        "record_table_failure",
        "record_table_recovery",
        "record_registry_recovery",
        "record_store_response",
    ]
    assert feed.store.calls[-1] == ("changes", "servers", 4)


def test_lost_history_triggers_a_full_read():
    lost = StoreError("gone", is_history_lost=True)
    feed, _, decoded = make_feed(Page([], 4), lost, Page([], 30))
    feed.poll()
    poll_and_record_failure(feed)
    feed.poll()
    assert feed.store.calls[-1] == ("read", "servers")
    assert decoded == [([], NO_POSITION), ([], NO_POSITION)]


def encode(document):
    return json.dumps(document).encode()


class FakeStoreSyncWithEvacuation(FakeStoreSync):
    """Reports one domain as evacuated."""

    evacuated = frozenset({"north-b"})


def test_operator_rows_decode_to_configuration_and_evacuations():
    rows = [
        Row("config", 8, encode(CONFIGURATION)),
        Row("evacuate/north-a", 9, b"{}"),
    ]
    update = (
        UpdateDecoder(FakeStoreSyncWithEvacuation())
        .operators(Page(rows, 30), 5)
        .operators
    )
    assert update.configuration.version == 7
    assert update.evacuated == {"north-a", "north-b"}
    assert update.after == 9


def test_deleted_evacuation_row_ends_the_evacuation():
    rows = [Row("evacuate/north-b", 9, None)]
    update = (
        UpdateDecoder(FakeStoreSyncWithEvacuation())
        .operators(Page(rows, 9), 5)
        .operators
    )
    assert update.evacuated == frozenset()


def test_full_read_drops_evacuations_deleted_during_an_outage():
    page = Page([], 30)
    update = (
        UpdateDecoder(FakeStoreSyncWithEvacuation())
        .operators(page, NO_POSITION)
        .operators
    )
    assert update.evacuated == frozenset()
    assert update.after == 30


def test_invalid_target_row_decodes_to_no_record():
    sync = FakeStoreSync()
    rows = [Row("t1", 8, encode(TARGET)), Row("t2", 9, b"\xff")]
    update = UpdateDecoder(sync).targets(Page(rows, 9), 5).targets
    assert [(c.target_id, c.record is None) for c in update.changes] == [
        ("t1", False),
        ("t2", True),
    ]
    assert sync.names() == ["warn_once"]


def test_a_page_that_could_not_be_applied_is_read_again():
    feed, sync, _ = make_feed(Page([ROW], 9), Page([ROW], 9), Page([], 9))
    failures = [OverflowError("number too large")]

    def fail_once(update):
        sync.recorded.append(("apply_store_update", update))
        if failures:
            raise failures.pop()

    sync.apply_store_update = fail_once
    with pytest.raises(OverflowError):
        feed.poll()
    feed.poll()
    feed.poll()
    assert feed.store.calls == [
        ("read", "servers"),
        ("read", "servers"),
        ("changes", "servers", 9),
    ]


def test_changes_that_could_not_be_applied_are_polled_again():
    feed, _, _ = make_feed(Page([], 4), Page([ROW], 9), Page([ROW], 9))
    feed.poll()
    decode, feed.decode = feed.decode, None
    with pytest.raises(TypeError):
        feed.poll()
    feed.decode = decode
    feed.poll()
    assert feed.store.calls[1:] == [("changes", "servers", 4)] * 2


def test_rows_with_unusable_keys_are_left_out_and_logged():
    sync = FakeStoreSync()
    rows = [Row("\ud800", 7, encode(TARGET)), Row("t1", 8, encode(TARGET))]
    update = UpdateDecoder(sync).targets(Page(rows, 9), 5).targets
    assert [c.target_id for c in update.changes] == ["t1"]
    assert update.after == 8
    assert sync.names() == ["warn_once"]


def test_an_evacuation_of_an_unusable_domain_is_left_out():
    sync = FakeStoreSync()
    sync.evacuated = frozenset({"north-b"})
    rows = [Row("evacuate/\ud800", 7, b"{}"), Row("evacuate/north-a", 8, b"{}")]
    update = UpdateDecoder(sync).operators(Page(rows, 9), 5).operators
    assert update.evacuated == {"north-a", "north-b"}
    assert sync.names() == ["warn_once"]


@given(
    st.lists(
        st.tuples(
            TEXT_OF_ANY_CHARACTERS,
            st.none() | st.binary(),
        )
    )
)
def test_any_rows_decode_to_an_update_that_can_be_passed_on(pairs):
    sync = FakeStoreSync()
    sync.evacuated = frozenset()
    decoder = UpdateDecoder(sync)
    rows = [Row(key, 6 + n, value) for n, (key, value) in enumerate(pairs)]
    rows += [Row(f"evacuate/{key}", 50, value) for key, value in pairs]
    page = Page([*rows, Row("t1", 60, encode(TARGET))], 60)
    for decode in (decoder.operators, decoder.targets):
        update = decode(page, NO_POSITION)
        plain = cbor2.loads(cbor2.dumps(to_plain(update)))
        assert from_plain(plain) == update
