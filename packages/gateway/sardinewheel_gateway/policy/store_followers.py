"""Selects the hosts that follow the store on behalf of their region.

Two hosts of each region read updates from the store and forward them to the
others. They are determined without an election: the first two live hosts in an
order that all hosts compute alike, leaving out those that cannot reach the
store. A host that receives no heartbeats follows the store itself.
"""

from sardinewheel_gateway.policy import ranking
from sardinewheel_gateway.policy.hosts import HostState, HostTable, StoreAccess

FOLLOWERS = 2
URGENT_FOLLOWERS = 5
START_WAIT_S = 0.45
CANDIDATE_SILENCE_S = 1.2
URGENT_AFTER_S = 0.7
STOP_DELAY_S = 3.0


class FollowDecision:
    """Decides whether this host follows the store.

    Attributes:
        host_table: All known hosts.
        should_follow: The last decision.
        is_substitute: Whether at least ``FOLLOWERS`` live hosts rank before
            this one, so that it would follow only in their place.
        started_at: Time of the first decision.
        no_follower_since: Time since which no other live host of the region
            follows the store, if so.
        redundant_since: Time since which this host follows although it is not
            among the first and another one follows, if so.
    """

    def __init__(self, host_table: HostTable):
        self.host_table = host_table
        self.should_follow = False
        self.is_substitute = False
        self.started_at: float | None = None
        self.no_follower_since: float | None = None
        self.redundant_since: float | None = None

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
        self._track_no_follower(has_follower, now)
        if self._is_among_first(others, now):
            self.should_follow = True
            self.redundant_since = None
        elif self.should_follow:
            self._stop_after_delay(has_follower, now)
        return self.should_follow

    def _others(self, now: float) -> list[HostState]:
        own = self.host_table.own
        return [
            peer.state
            for peer in self.host_table.peers.values()
            if peer.state.region == own.region
            and now - peer.last_heartbeat_at < CANDIDATE_SILENCE_S
        ]

    def _track_no_follower(self, has_follower: bool, now: float) -> None:
        if has_follower:
            self.no_follower_since = None
        elif self.no_follower_since is None:
            self.no_follower_since = now

    def _is_among_first(self, others: list[HostState], now: float) -> bool:
        no_follower_s = (
            0.0
            if self.no_follower_since is None
            else now - self.no_follower_since
        )
        is_urgent = no_follower_s > URGENT_AFTER_S
        follower_count = URGENT_FOLLOWERS if is_urgent else FOLLOWERS
        own = _order(self.host_table.own)
        ranked_before = [host for host in others if _order(host) < own]
        reachable = [
            host for host in ranked_before if host.store is not StoreAccess.AWAY
        ]
        self.is_substitute = len(ranked_before) >= FOLLOWERS
        return len(reachable) < follower_count

    def _stop_after_delay(self, has_follower: bool, now: float) -> None:
        if not has_follower:
            self.redundant_since = None
        elif self.redundant_since is None:
            self.redundant_since = now
        elif now - self.redundant_since > STOP_DELAY_S:
            self.should_follow = False
            self.redundant_since = None


def highest_ranked_hosts(
    host_table: HostTable, region: str, count: int, *, now: float
) -> list[HostState]:
    """Returns the highest-ranked live hosts of a region."""
    live = [x for x in host_table.live(now=now) if x.region == region]
    return sorted(live, key=_order)[:count]


def _order(host: HostState) -> tuple[int, int]:
    """Returns the sort key of a host; the largest hosts come first."""
    return (-host.capacity, ranking.score(host.region, host.name))
