"""Hosts are known by their heartbeats."""

from sardinewheel_gateway.policy.hosts import (
    FORGET_S,
    RESTART_SILENCE_S,
    SILENCE_S,
    HostBook,
    HostState,
    StoreAccess,
    entry_hosts,
)


def state(name, **fields):
    given = {
        "incarnation": 1,
        "sequence": 1,
        "front": f"{name}:80",
        "gossip": f"{name}:81",
        "control": f"{name}:82",
        "domain": "north-a",
        "region": "north",
        "is_ready": True,
    }
    given.update(fields)
    return HostState(name=name, **given)


def test_a_silent_host_is_not_named_to_callers():
    book = HostBook(state("a"))
    book.hear(state("b"), now=0.0)
    assert [h.name for h in book.live(now=1.0)] == ["a", "b"]
    assert [h.name for h in book.live(now=SILENCE_S + 0.1)] == ["a"]


def test_a_silent_host_still_counts_for_shared_bounds():
    book = HostBook(state("a"))
    book.hear(state("b"), now=0.0)
    book.expire(now=SILENCE_S + 0.1)
    assert book.names() == ("a", "b")
    book.expire(now=FORGET_S + 0.1)
    assert book.names() == ("a",)


def test_a_late_heartbeat_of_an_earlier_start_is_ignored():
    book = HostBook(state("a"))
    book.hear(state("b", incarnation=2, is_ready=False), now=0.0)
    assert not book.hear(state("b", incarnation=1, sequence=99), now=1.0)
    assert not book.peers["b"].state.is_ready


def test_a_restart_after_the_time_of_day_was_set_back_is_heard():
    book = HostBook(state("a"))
    book.hear(state("b", incarnation=9000, is_ready=False), now=0.0)
    assert book.hear(state("b", incarnation=5000), now=RESTART_SILENCE_S + 0.1)
    assert book.peers["b"].state.is_ready


def test_word_of_a_host_is_no_sign_of_life():
    book = HostBook(state("a"))
    assert book.introduce(state("b"), now=0.0)
    assert [h.name for h in book.live(now=0.0)] == ["a"]


def test_callers_are_sent_to_ready_hosts_of_their_region():
    hosts = [
        state("a"),
        state("b", is_ready=False),
        state("c", region="south"),
    ]
    assert entry_hosts(hosts, region="north", limit=64) == ["a:80"]
    assert entry_hosts(hosts, region="east", limit=64) == ["a:80", "c:80"]


def follower(name, **fields):
    return state(name, store=StoreAccess.FOLLOWING, **fields)


def test_a_host_that_follows_the_store_for_a_while_is_settled():
    book = HostBook(state("a"))
    for beat in range(20):
        book.hear(follower("b", sequence=beat + 1), now=beat * 0.4)
    assert book.has_settled_follower(now=8.0)


def test_a_host_that_has_just_come_back_to_the_store_is_not_settled():
    book = HostBook(state("a"))
    away = state("b", store=StoreAccess.AWAY)
    book.hear(follower("b"), now=0.0)
    book.hear(away._replace(sequence=2), now=4.0)
    book.hear(follower("b", sequence=3), now=5.0)
    assert not book.has_settled_follower(now=5.5)


def test_a_silent_follower_is_not_settled():
    book = HostBook(state("a"))
    book.hear(follower("b"), now=0.0)
    assert not book.has_settled_follower(now=6.0)
