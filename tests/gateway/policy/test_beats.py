"""In a large region heartbeats go by turns, but for those that lead."""

from collections import Counter

from sardinewheel_gateway.gossip import FAR_EVERY
from sardinewheel_gateway.policy.beats import (
    LARGE_REGION,
    LEADING,
    MOST_TURNS,
    near_hosts,
)
from sardinewheel_gateway.policy.following import first_hosts
from sardinewheel_gateway.policy.hosts import HostBook

from tests.gateway.policy.test_hosts import state

NOW = 100.0


def book_of(own, count):
    """Returns the book of one of so many hosts of a region."""
    book = HostBook(state(f"h{own:03}"))
    for number in range(count):
        book.hear(state(f"h{number:03}"), now=NOW)
    book.hear(state("far", region="south"), now=NOW)
    return book


def names(hosts):
    return [host.name for host in hosts]


def leading(count):
    return names(first_hosts(book_of(0, count), LEADING, now=NOW))


def sent(book, beats=MOST_TURNS * 3):
    """Returns how often each host got one of some heartbeats."""
    return Counter(
        name
        for beat in range(beats)
        for name in names(near_hosts(book, beat, now=NOW))
    )


def test_in_a_small_region_all_hosts_get_each_heartbeat():
    book = book_of(0, LARGE_REGION)
    assert set(sent(book, 3).values()) == {3}
    assert "far" not in sent(book)


def test_in_a_large_region_each_host_gets_every_third_at_least():
    first = leading(200)
    own = next(n for n in range(200) if f"h{n:03}" not in first)
    counts = sent(book_of(own, 200), MOST_TURNS * 3)
    assert len(counts) == 199
    for name, count in counts.items():
        assert count == (MOST_TURNS * 3 if name in first else 3)


def test_hosts_that_may_read_the_store_reach_all_each_time():
    own = int(leading(200)[0][1:])
    counts = sent(book_of(own, 200), 4)
    assert set(counts.values()) == {4}
    assert len(counts) == 199


def test_by_turns_each_host_gets_a_whole_state_now_and_then():
    first = leading(200)
    own = next(n for n in range(200) if f"h{n:03}" not in first)
    book = book_of(own, 200)
    whole = [near_hosts(book, n, now=NOW) for n in range(0, 100, FAR_EVERY)]
    assert len({name for hosts in whole for name in names(hosts)}) == 199


def test_a_silent_host_does_not_lead():
    book = book_of(0, 200)
    first = first_hosts(book, LEADING, now=NOW)
    silent = next(host for host in first if host != book.own)
    peer = book.peers[silent.name]
    book.peers[silent.name] = peer._replace(heard_at=NOW - 60.0)
    assert silent not in first_hosts(book, LEADING, now=NOW)


def test_datagrams_of_a_region_of_100_hosts_stay_bounded():
    per_beat = sum(
        len(near_hosts(book_of(own, 100), beat, now=NOW))
        for own in range(100)
        for beat in range(MOST_TURNS)
    )
    mean = per_beat / MOST_TURNS / 100
    # 2.5 beats a second of 73 bytes with headers: 7 KB/s a host.
    assert mean * 2.5 * 73 < 7000
