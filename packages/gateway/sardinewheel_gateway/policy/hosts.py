"""Tracks which other hosts are live, based on their heartbeats."""

from enum import IntEnum
from typing import NamedTuple

from sardinewheel_gateway.policy.updates import Positions

RESTART_SILENCE_S = 2.0
ESTABLISHED_FOLLOWER_S = 3.5
FOLLOWER_SILENCE_S = 1.2
SAME_REGION_SILENCE_S = 3.5
CROSS_REGION_SILENCE_S = 6.0
HOST_EXPIRY_S = 60.0
HEARTBEAT_INTERVAL_S = 0.4
# Every nth heartbeat also goes to other regions.
CROSS_REGION_EVERY = 10
CROSS_REGION_INTERVAL_S = HEARTBEAT_INTERVAL_S * CROSS_REGION_EVERY
# Number of hosts of other regions per group; a heartbeat goes to one group.
CROSS_REGION_GROUP_SIZE = 64


class StoreAccess(IntEnum):
    """Relation of a host to the store.

    Attributes:
        IDLE: Does not read the store.
        FOLLOWING: Reads updates from the store for its region.
        AWAY: Cannot reach the store.
    """

    IDLE = 0
    FOLLOWING = 1
    AWAY = 2


class HostState(NamedTuple):
    """State that a host announces in its heartbeats.

    Attributes:
        name: Name of the host.
        incarnation: Start of its process in milliseconds since the Unix
            epoch; a higher value is newer.
        sequence: Sequence number of its heartbeats.
        front: ``host:port`` for requests of callers.
        gossip: ``host:port`` for heartbeats.
        control: ``host:port`` for queries of other hosts.
        domain: Its failure domain.
        region: Its region.
        is_ready: Whether callers may be directed to it.
        capacity: Relative size; the largest hosts follow the store.
        store: Its relation to the store.
        positions: Latest positions in the store that it has applied.
    """

    name: str
    incarnation: int
    sequence: int
    front: str
    gossip: str
    control: str
    domain: str
    region: str
    is_ready: bool
    capacity: int = 0
    store: StoreAccess = StoreAccess.IDLE
    positions: Positions = Positions()


class CompactHeartbeat(NamedTuple):
    """Heartbeat that carries only the frequently changing fields of a state.

    Attributes:
        name: Name of the host.
        incarnation: Start of its process.
        sequence: Sequence number of its heartbeats.
        is_ready: Whether callers may be directed to it.
        store: Its relation to the store.
        positions: Latest positions in the store that it has applied.
    """

    name: str
    incarnation: int
    sequence: int
    is_ready: bool
    store: StoreAccess
    positions: Positions

    @classmethod
    def of(cls, state: HostState) -> "CompactHeartbeat":
        """Returns the compact heartbeat of a state."""
        return cls(
            state.name,
            state.incarnation,
            state.sequence,
            state.is_ready,
            state.store,
            state.positions,
        )


class Peer(NamedTuple):
    """Another host and the time of its last heartbeat."""

    state: HostState
    last_heartbeat_at: float


class HostTable:
    """All known hosts.

    Attributes:
        own: State of this host.
        peers: Other hosts, by name.
        following_since: Time at which a host began to follow the store, by
            name.
    """

    def __init__(self, own: HostState):
        self.own = own
        self.peers: dict[str, Peer] = {}
        self.following_since: dict[str, float] = {}

    def record_heartbeat(self, state: HostState, *, now: float) -> bool:
        """Records a heartbeat; returns whether the host is new or changed.

        A host that was silent for ``CROSS_REGION_SILENCE_S`` counts as new.
        """
        if state.name == self.own.name:
            return False
        known = self.peers.get(state.name)
        if known is not None and _is_older(state, known, now):
            return False
        self.peers[state.name] = Peer(state, now)
        self._record_following(state, now)
        if (
            known is None
            or now - known.last_heartbeat_at > CROSS_REGION_SILENCE_S
        ):
            return True
        return _stable_part(known.state) != _stable_part(state)

    def expand_heartbeat(self, compact: CompactHeartbeat) -> HostState | None:
        """Returns the full state for a compact heartbeat.

        Returns ``None`` if the sender's incarnation is not known.
        """
        known = self.peers.get(compact.name)
        if known is None or known.state.incarnation != compact.incarnation:
            return None
        return known.state._replace(**compact._asdict())

    def add_discovered(self, state: HostState, *, now: float) -> bool:
        """Adds a host learned from another one; returns whether it was new.

        It does not count as live until its own heartbeat arrives.
        """
        if state.name == self.own.name or state.name in self.peers:
            return False
        self.peers[state.name] = Peer(state, now - CROSS_REGION_SILENCE_S)
        return True

    def expire(self, *, now: float) -> None:
        """Removes hosts without a heartbeat for ``HOST_EXPIRY_S``."""
        gone = [
            name
            for name, peer in self.peers.items()
            if now - peer.last_heartbeat_at > HOST_EXPIRY_S
        ]
        for name in gone:
            del self.peers[name]

    def live(self, *, now: float) -> list[HostState]:
        """Returns this host and all others with a recent heartbeat.

        A region without any heartbeat for ``CROSS_REGION_SILENCE_S`` is left
        out, even where round robin allows its hosts a longer silence.
        """
        group_count = self.cross_region_group_count()
        live_regions = {
            peer.state.region
            for peer in self.peers.values()
            if now - peer.last_heartbeat_at < CROSS_REGION_SILENCE_S
        }
        recent = [
            peer.state
            for peer in self.peers.values()
            if now - peer.last_heartbeat_at
            < self._silence_s(peer.state, group_count)
            and peer.state.region in live_regions
        ]
        return [self.own, *recent]

    def has_established_follower(self, *, now: float) -> bool:
        """Returns whether a live host has followed the store without a break.

        It must have done so for ``ESTABLISHED_FOLLOWER_S``; the store itself
        was then recently available.
        """
        return any(
            now - since >= ESTABLISHED_FOLLOWER_S
            and now - self.peers[name].last_heartbeat_at < FOLLOWER_SILENCE_S
            for name, since in self.following_since.items()
            if name in self.peers
        )

    def same_region_hosts(self) -> list[HostState]:
        """Returns the other hosts of this region, including silent ones."""
        region = self.own.region
        states = (peer.state for peer in self.peers.values())
        return [state for state in states if state.region == region]

    def cross_region_hosts(self) -> list[HostState]:
        """Returns the hosts of other regions, including silent ones."""
        region = self.own.region
        states = (peer.state for peer in self.peers.values())
        return [state for state in states if state.region != region]

    def cross_region_group_count(self) -> int:
        """Returns the number of groups of hosts of other regions.

        A heartbeat to other regions goes to one group, in round robin.
        """
        return max(
            1, -(-len(self.cross_region_hosts()) // CROSS_REGION_GROUP_SIZE)
        )

    def cross_region_followers(self) -> list[HostState]:
        """Returns the hosts of other regions that follow the store."""
        return [
            peer.state
            for name, peer in self.peers.items()
            if name in self.following_since
            and peer.state.region != self.own.region
        ]

    def _record_following(self, state: HostState, now: float) -> None:
        if state.store is StoreAccess.FOLLOWING:
            self.following_since.setdefault(state.name, now)
        else:
            self.following_since.pop(state.name, None)

    def _silence_s(self, state: HostState, group_count: int) -> float:
        """Returns the silence in seconds after which a host is not live."""
        if state.region == self.own.region:
            return SAME_REGION_SILENCE_S
        return (
            CROSS_REGION_SILENCE_S + (group_count - 1) * CROSS_REGION_INTERVAL_S
        )

    def names(self) -> tuple[str, ...]:
        """Returns the names of all known hosts, including silent ones."""
        return tuple(sorted((self.own.name, *self.peers)))


def _is_older(state: HostState, known: Peer, now: float) -> bool:
    """Returns whether a heartbeat is older than the last one recorded.

    An earlier incarnation is accepted once the known one has been silent for
    ``RESTART_SILENCE_S``: the wall clock may have been set back before a
    restart.
    """
    if state.incarnation == known.state.incarnation:
        return state.sequence <= known.state.sequence
    is_silent = now - known.last_heartbeat_at > RESTART_SILENCE_S
    return state.incarnation < known.state.incarnation and not is_silent


def _stable_part(state: HostState) -> HostState:
    """Returns a state without the fields that change in each heartbeat."""
    return state._replace(sequence=0, positions=Positions())


def entry_hosts(
    hosts: list[HostState], *, region: str, limit: int
) -> list[str]:
    """Returns the addresses to which callers of a region send requests.

    Args:
        hosts: Live hosts.
        region: Region of the caller; without ready hosts in it, those of all
            regions are returned.
        limit: Maximum number of addresses.
    """
    ready = [host for host in hosts if host.is_ready]
    local = [host for host in ready if host.region == region]
    chosen = sorted(local or ready, key=lambda host: host.name)
    return [host.front for host in chosen[:limit]]
