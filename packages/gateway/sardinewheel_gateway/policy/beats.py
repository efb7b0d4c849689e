"""To which hosts of its region a host sends each heartbeat.

In a small region it is all of them, each time. In a large one the hosts that
may read the store for the others still do so, since news and substitutes hang
on them; any other host reaches these each time and the rest by turns, so that
the datagrams of a region don't grow with the square of its hosts.
"""

from sardinewheel_gateway.policy.following import first_hosts
from sardinewheel_gateway.policy.hosts import HostBook, HostState

LARGE_REGION = 32
# Two in a row may be lost before a host counts as silent. Without a common
# divisor with the number of heartbeats from one whole state to the next.
MOST_TURNS = 3
LEADING = 4


def near_hosts(book: HostBook, beat: int, *, now: float) -> list[HostState]:
    """Returns the hosts of the own region that get a heartbeat.

    Args:
        book: The hosts that are known.
        beat: Number of the heartbeat.
        now: Seconds of the steady clock.
    """
    near = book.near()
    if len(near) <= LARGE_REGION:
        return near
    leading = {host.name for host in first_hosts(book, LEADING, now=now)}
    if book.own.name in leading:
        return near
    turns = min(MOST_TURNS, -(-len(near) // LARGE_REGION))
    near.sort(key=lambda host: host.name)
    return [
        host
        for place, host in enumerate(near)
        if host.name in leading or (place + beat) % turns == 0
    ]
