"""Which targets have handled an object recently."""

import pytest
from sardinewheel_gateway.policy import known_objects
from sardinewheel_gateway.policy.known_objects import KNOWN_S, KnownObjects

NOW = 1000.0


@pytest.fixture
def known():
    return KnownObjects()


def test_a_target_knows_what_it_handled_for_the_same_route(known):
    known.record("t1", "status", "k", now=NOW)
    assert known.knows("t1", "status", "k", now=NOW)
    assert not known.knows("t1", "confirm", "k", now=NOW)
    assert not known.knows("t1", "status", "l", now=NOW)
    assert not known.knows("t2", "status", "k", now=NOW)


def test_an_object_is_forgotten_if_it_is_not_handled_again(known):
    known.record("t1", "status", "k", now=NOW)
    assert not known.knows("t1", "status", "k", now=NOW + KNOWN_S)


def test_other_hosts_know_what_one_has_seen(known):
    other = KnownObjects()
    known.record("t1", "status", "k", now=NOW)
    other.merge(known_objects.pack(known.take_unsent()), now=NOW)
    assert other.knows("t1", "status", "k", now=NOW)
    assert not other.take_unsent()


def test_what_was_told_is_told_again_only_after_some_time(known):
    known.record("t1", "status", "k", now=NOW)
    assert len(known.take_unsent()) == 1
    for number in range(4):
        known.record("t1", "status", "k", now=NOW + number)
    assert not known.take_unsent()
    known.record("t1", "status", "k", now=NOW + 10.0)
    assert len(known.take_unsent()) == 1


def test_a_target_that_starts_again_knows_nothing(known):
    known.record("t1", "status", "k", now=NOW)
    known.record("t2", "status", "k", now=NOW)
    known.forget("t1")
    assert not known.knows("t1", "status", "k", now=NOW)
    assert known.knows("t2", "status", "k", now=NOW)


def test_memory_is_bounded(known, monkeypatch):
    monkeypatch.setattr(known_objects, "MAX_ENTRIES", 10)
    for number in range(30):
        known.record("t1", "status", f"k{number}", now=NOW)
    assert len(known.handled_at) == 10
    assert known.knows("t1", "status", "k29", now=NOW)


def test_a_message_with_a_partial_entry_is_refused(known):
    known.record("t1", "status", "k", now=NOW)
    data = known_objects.pack(known.take_unsent())
    with pytest.raises(ValueError, match="7 bytes"):
        known.merge(data[:-1], now=NOW)
