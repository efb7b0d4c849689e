"""Tracks which other hosts are live.

The evidence is the time at which a host last sent a heartbeat, received from
the host itself or passed on by others.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from sardinewheel_gateway.policy import digests
from sardinewheel_gateway.policy.digests import HostStatus
from sardinewheel_gateway.policy.updates import Positions

RESTART_SILENCE_S = 2.0
FOLLOWER_CONFIRMATION_S = 1.3
# Hosts of the region hear of a follower from others, so later than it sends.
FOLLOWER_SILENCE_S = 2.0
SAME_REGION_SILENCE_S = 3.5
CROSS_REGION_SILENCE_S = 6.0
HOST_EXPIRY_S = 60.0
HEARTBEAT_INTERVAL_S = 0.4


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

    @classmethod
    def _missing_(cls, value: object) -> "StoreAccess":
        """Returns what a relation of a later build counts as here."""
        return cls.IDLE


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
        reaches_targets: Whether it reaches any target.
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
    reaches_targets: bool = True


@dataclass(slots=True)
class Peer:
    """Another host and the time of its last heartbeat.

    Attributes:
        state: Its last known state.
        last_heartbeat_at: Time at which it sent its last known heartbeat.
        host_id: Short hash of its name and incarnation, used in digests.
        sequence: Sequence number of its last known heartbeat.
    """

    state: HostState
    last_heartbeat_at: float
    host_id: int
    sequence: int


class HostTable:
    """All known hosts.

    Attributes:
        own: State of this host.
        own_id: Short hash of this host's name and incarnation.
        peers: Other hosts, by name.
        peers_by_id: Other hosts, by ``Peer.host_id``.
        following_since: Time at which a host began to follow the store, by
            name.
        on_store_change: Called with the new state of a host whose relation to
            the store has changed.
    """

    def __init__(self, own: HostState):
        self.own = own
        self.own_id = digests.host_id(own.name, own.incarnation)
        self.peers: dict[str, Peer] = {}
        self.peers_by_id: dict[int, Peer] = {}
        self.following_since: dict[str, float] = {}
        self.on_store_change: Callable[[HostState], None] = lambda _: None

    def record_heartbeat(
        self, state: HostState, *, now: float, age_s: float = 0.0
    ) -> bool:
        """Records the full state of a host; returns whether it is news.

        It is news if the host was not known, has restarted, or was silent.

        Args:
            state: The state.
            now: Seconds of the monotonic clock.
            age_s: Seconds since the host sent the state, at least.
        """
        if state.name == self.own.name:
            return False
        sent_at = now - age_s
        known = self.peers.get(state.name)
        if known is not None and _is_older(state, known, sent_at):
            return False
        if known is None or state.incarnation != known.state.incarnation:
            self._add(state, sent_at)
            return True
        was_silent = sent_at - known.last_heartbeat_at > self.silence_s(state)
        known.last_heartbeat_at = max(sent_at, known.last_heartbeat_at)
        known.sequence = state.sequence
        self._update(known, state)
        return was_silent

    def record_status(self, status: HostStatus, *, now: float) -> bool:
        """Records a status; returns whether its host is known."""
        peer = self.peers_by_id.get(status.host_id)
        if peer is None:
            return status.host_id == self.own_id
        advance = digests.sequence_advance(peer.sequence, status.sequence)
        if advance <= 0:
            return True
        peer.sequence += advance
        peer.last_heartbeat_at = max(peer.last_heartbeat_at, now - status.age_s)
        state = peer.state._replace(
            is_ready=status.is_ready,
            store=StoreAccess(status.store),
            reaches_targets=status.reaches_targets,
        )
        if state != peer.state:
            self._update(peer, state)
        return True

    def record_positions(self, host_id: int, positions: Positions) -> None:
        """Records the store positions that a known host has applied."""
        peer = self.peers_by_id.get(host_id)
        if peer is not None:
            newest = Positions(*map(max, peer.state.positions, positions))
            peer.state = peer.state._replace(positions=newest)

    def own_status(self) -> HostStatus:
        """Returns the status of this host."""
        own = self.own
        return HostStatus(
            self.own_id,
            own.sequence,
            0.0,
            own.is_ready,
            own.store,
            own.reaches_targets,
        )

    def statuses(
        self, hosts: list[HostState], *, now: float
    ) -> list[HostStatus]:
        """Returns the statuses of the given hosts that are recent enough."""
        peers = [self.peers[host.name] for host in hosts]
        return [
            HostStatus(
                peer.host_id,
                peer.sequence,
                max(0.0, now - peer.last_heartbeat_at),
                peer.state.is_ready,
                peer.state.store,
                peer.state.reaches_targets,
            )
            for peer in peers
            if now - peer.last_heartbeat_at < self.silence_s(peer.state)
        ]

    def expire(self, *, now: float) -> None:
        """Removes hosts without a heartbeat for ``HOST_EXPIRY_S``."""
        gone = [
            name
            for name, peer in self.peers.items()
            if now - peer.last_heartbeat_at > HOST_EXPIRY_S
        ]
        for name in gone:
            del self.peers_by_id[self.peers.pop(name).host_id]
            self.following_since.pop(name, None)

    def is_live(self, host: HostState, *, now: float) -> bool:
        """Returns whether a known host sent a heartbeat recently."""
        silent_s = now - self.peers[host.name].last_heartbeat_at
        return silent_s < self.silence_s(host)

    def live(self, *, now: float) -> list[HostState]:
        """Returns this host and all others with a recent heartbeat."""
        recent = [
            peer.state
            for peer in self.peers.values()
            if now - peer.last_heartbeat_at < self.silence_s(peer.state)
        ]
        return [self.own, *recent]

    def ready_by_domain(self, *, now: float) -> dict[str, list[str]]:
        """Returns the live, ready hosts of each domain of this region."""
        names: dict[str, list[str]] = {}
        for host in sorted(self.live(now=now), key=lambda host: host.name):
            if host.is_ready and host.region == self.own.region:
                names.setdefault(host.domain, []).append(host.name)
        return names

    def silence_s(self, host: HostState) -> float:
        """Returns the silence in seconds after which a host is not live."""
        if host.region == self.own.region:
            return SAME_REGION_SILENCE_S
        return CROSS_REGION_SILENCE_S

    def store_available_since(self, *, now: float) -> float:
        """Returns a time from which on the store was available to hosts.

        That is ``FOLLOWER_CONFIRMATION_S`` after a live host began to follow
        the store, or now if none has followed it for so long. A follower
        notices only after some time that the store does not answer.
        """
        since = [
            since
            for name, since in self.following_since.items()
            if name in self.peers
            and now - self.peers[name].last_heartbeat_at < FOLLOWER_SILENCE_S
        ]
        return min(now, min(since, default=now) + FOLLOWER_CONFIRMATION_S)

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

    def cross_region_followers(self) -> list[HostState]:
        """Returns the hosts of other regions that follow the store."""
        return [
            peer.state
            for name, peer in self.peers.items()
            if name in self.following_since
            and peer.state.region != self.own.region
        ]

    def names(self) -> tuple[str, ...]:
        """Returns the names of all known hosts, including silent ones."""
        return tuple(sorted((self.own.name, *self.peers)))

    def _add(self, state: HostState, sent_at: float) -> None:
        """Adds a host, or replaces its earlier incarnation."""
        known = self.peers.get(state.name)
        if known is not None:
            del self.peers_by_id[known.host_id]
            self.following_since.pop(state.name, None)
        identifier = digests.host_id(state.name, state.incarnation)
        peer = Peer(state, sent_at, identifier, state.sequence)
        self.peers[state.name] = peer
        self.peers_by_id[identifier] = peer
        self._update(peer, state)

    def _update(self, peer: Peer, state: HostState) -> None:
        has_changed = state.store is not peer.state.store
        peer.state = state
        if state.store is StoreAccess.FOLLOWING:
            self.following_since.setdefault(state.name, peer.last_heartbeat_at)
        else:
            self.following_since.pop(state.name, None)
        if has_changed:
            self.on_store_change(state)


def _is_older(state: HostState, known: Peer, sent_at: float) -> bool:
    """Returns whether a state is older than the last one recorded.

    An earlier incarnation is accepted once the known one has been silent for
    ``RESTART_SILENCE_S``: the wall clock may have been set back before a
    restart.
    """
    if state.incarnation == known.state.incarnation:
        return state.sequence <= known.sequence
    is_silent = sent_at - known.last_heartbeat_at > RESTART_SILENCE_S
    return state.incarnation < known.state.incarnation and not is_silent
