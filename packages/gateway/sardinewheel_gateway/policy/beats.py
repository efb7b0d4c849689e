"""To which hosts a host sends each heartbeat.

In a small fleet it is all of them, each time. In a large one the hosts that
may read the store for their region still do so, since news and substitutes
hang on them; any other host reaches these each time and the rest by turns, so
that datagrams don't grow with the square of the hosts.
"""

from sardinewheel_gateway.policy.following import first_hosts
from sardinewheel_gateway.policy.hosts import HostBook, HostState

LARGE_REGION = 32
# Two in a row may be lost before a host counts as silent. Without a common
# divisor with the number of heartbeats from one whole state to the next.
MOST_TURNS = 3
LEADING = 4
# Hosts make themselves known to all before they send by turns.
START_BEATS = 30


def near_hosts(book: HostBook, beat: int, *, now: float) -> list[HostState]:
    """Returns the hosts of the own region that get a heartbeat.

    Args:
        book: The hosts that are known.
        beat: Number of the heartbeat.
        now: Seconds of the steady clock.
    """
    near = book.near()
    turns = min(MOST_TURNS, -(-len(near) // LARGE_REGION))
    return _by_turns(book, near, beat, turns, now=now)


def far_hosts(book: HostBook, beat: int, *, now: float) -> list[HostState]:
    """Returns the hosts of other regions that get a far heartbeat.

    Args:
        book: The hosts that are known.
        beat: Number of the far heartbeat.
        now: Seconds of the steady clock.
    """
    far = book.far()
    turns = book.far_turns()
    if book.own.sequence <= START_BEATS:
        turns = 1
    return _by_turns(book, far, beat, turns, now=now)


def _by_turns(
    book: HostBook,
    hosts: list[HostState],
    beat: int,
    turns: int,
    *,
    now: float,
) -> list[HostState]:
    if turns <= 1:
        return hosts
    regions = {host.region for host in (book.own, *hosts)}
    leading = {
        host.name
        for region in regions
        for host in first_hosts(book, region, LEADING, now=now)
    }
    if book.own.name in leading:
        return hosts
    ordered = sorted(hosts, key=lambda host: host.name)
    return [
        host
        for place, host in enumerate(ordered)
        if host.name in leading or (place + beat) % turns == 0
    ]
