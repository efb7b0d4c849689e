"""Which hosts read the store for all hosts of their region.

Two hosts of a region follow the store and tell the others. They follow from
the hosts that are heard, without an election: the first two of an order that
all hosts know, leaving out those that can't reach the store. A host that hears
nobody follows the store itself.
"""

from sardinewheel_gateway.policy import ranking
from sardinewheel_gateway.policy.hosts import HostBook, HostState, StoreAccess

FOLLOWERS = 2
URGENT_FOLLOWERS = 5
START_WAIT_S = 0.45
SILENCE_S = 1.2
URGENT_AFTER_S = 0.7
KEEP_S = 3.0


class FollowDecision:
    """Decides whether this host follows the store.

    Attributes:
        book: The hosts that are known.
        is_wanted: The last decision.
        is_substitute: Whether this host only stands in for others.
    """

    def __init__(self, book: HostBook):
        self.book = book
        self.is_wanted = False
        self.is_substitute = False
        self.started_at: float | None = None
        self.alone_since: float | None = None
        self.needless_since: float | None = None

    def decide(self, *, now: float) -> bool:
        """Returns whether this host should follow the store now."""
        if self.started_at is None:
            self.started_at = now
        if now - self.started_at < START_WAIT_S:
            return False
        others = self._others(now)
        has_follower = any(
            host.store is StoreAccess.FOLLOWING for host in others
        )
        self._note_alone(has_follower, now)
        if self._is_among_first(others, now):
            self.is_wanted = True
            self.needless_since = None
        elif self.is_wanted:
            self._stop_when_settled(has_follower, now)
        return self.is_wanted

    def _others(self, now: float) -> list[HostState]:
        own = self.book.own
        return [
            peer.state
            for peer in self.book.peers.values()
            if peer.state.region == own.region
            and now - peer.heard_at < SILENCE_S
        ]

    def _note_alone(self, has_follower: bool, now: float) -> None:
        if has_follower:
            self.alone_since = None
        elif self.alone_since is None:
            self.alone_since = now

    def _is_among_first(self, others: list[HostState], now: float) -> bool:
        alone_s = 0.0 if self.alone_since is None else now - self.alone_since
        is_urgent = alone_s > URGENT_AFTER_S
        wanted = URGENT_FOLLOWERS if is_urgent else FOLLOWERS
        own = _order(self.book.own)
        before = [host for host in others if _order(host) < own]
        able = [host for host in before if host.store is not StoreAccess.AWAY]
        self.is_substitute = len(before) >= FOLLOWERS
        return len(able) < wanted

    def _stop_when_settled(self, has_follower: bool, now: float) -> None:
        if not has_follower:
            self.needless_since = None
        elif self.needless_since is None:
            self.needless_since = now
        elif now - self.needless_since > KEEP_S:
            self.is_wanted = False
            self.needless_since = None


def first_hosts(
    book: HostBook, region: str, count: int, *, now: float
) -> list[HostState]:
    """Returns the hosts of a region that come first, live ones only."""
    there = [x for x in book.live(now=now) if x.region == region]
    return sorted(there, key=_order)[:count]


def _order(host: HostState) -> tuple[int, int]:
    """Returns a host's place; the largest hosts come first."""
    return (-host.capacity, ranking.score(host.region, host.name))
