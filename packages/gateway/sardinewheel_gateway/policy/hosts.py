"""Which other hosts run, from their heartbeats."""

from enum import IntEnum
from typing import NamedTuple

from sardinewheel_gateway.policy.updates import Positions

RESTART_SILENCE_S = 2.0
SETTLED_FOLLOWER_S = 3.5
FOLLOWER_SILENCE_S = 1.2
SILENCE_S = 3.5
CROSS_REGION_SILENCE_S = 6.0
HOST_EXPIRY_S = 60.0
HEARTBEAT_INTERVAL_S = 0.4
CROSS_REGION_EVERY = 10
CROSS_REGION_INTERVAL_S = HEARTBEAT_INTERVAL_S * CROSS_REGION_EVERY
LARGE_FLEET = 64


class StoreAccess(IntEnum):
    """What a host has to do with the store."""

    IDLE = 0
    FOLLOWING = 1
    AWAY = 2


class HostState(NamedTuple):
    """What a host says of itself in each heartbeat.

    Attributes:
        name: Name of the host.
        incarnation: Start of its process; higher ones are newer.
        sequence: Counts its heartbeats.
        front: ``host:port`` where callers send requests.
        gossip: ``host:port`` where heartbeats go.
        control: ``host:port`` where other hosts ask it.
        domain: Its failure domain.
        region: Its region.
        is_ready: Whether callers may be sent to it.
        capacity: Its size, for duties that go to the largest hosts.
        store: Whether it follows the store.
        positions: How far into the store's history it has heard.
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
    """The part of a host's state that changes, in most heartbeats alone.

    Attributes:
        name: Name of the host.
        incarnation: Start of its process.
        sequence: Counts its heartbeats.
        is_ready: Whether callers may be sent to it.
        store: Whether it follows the store.
        positions: How far into the store's history it has heard.
    """

    name: str
    incarnation: int
    sequence: int
    is_ready: bool
    store: StoreAccess
    positions: Positions

    @classmethod
    def of(cls, state: HostState) -> "CompactHeartbeat":
        """Returns what changes of a state."""
        return cls(
            state.name,
            state.incarnation,
            state.sequence,
            state.is_ready,
            state.store,
            state.positions,
        )


class Peer(NamedTuple):
    """Another host and when it was last heard of."""

    state: HostState
    heard_at: float


class HostTable:
    """All hosts that are known.

    Attributes:
        own: State of this host.
        peers: Other hosts, by name.
        following_since: Since when a host follows the store, by name.
    """

    def __init__(self, own: HostState):
        self.own = own
        self.peers: dict[str, Peer] = {}
        self.following_since: dict[str, float] = {}

    def record_heartbeat(self, state: HostState, *, now: float) -> bool:
        """Takes a heartbeat; says whether it is of a new or changed host."""
        if state.name == self.own.name:
            return False
        known = self.peers.get(state.name)
        if known is not None and _is_older(state, known, now):
            return False
        self.peers[state.name] = Peer(state, now)
        self._note_following(state, now)
        if known is None or now - known.heard_at > CROSS_REGION_SILENCE_S:
            return True
        return _stable_part(known.state) != _stable_part(state)

    def expand(self, compact: CompactHeartbeat) -> HostState | None:
        """Returns the whole state behind a compact, if its start is known."""
        known = self.peers.get(compact.name)
        if known is None or known.state.incarnation != compact.incarnation:
            return None
        return known.state._replace(**compact._asdict())

    def add_unheard(self, state: HostState, *, now: float) -> bool:
        """Takes word of a host that was not heard from directly."""
        if state.name == self.own.name or state.name in self.peers:
            return False
        self.peers[state.name] = Peer(state, now - CROSS_REGION_SILENCE_S)
        return True

    def expire(self, *, now: float) -> None:
        """Forgets hosts that have long been silent."""
        gone = [
            name
            for name, peer in self.peers.items()
            if now - peer.heard_at > HOST_EXPIRY_S
        ]
        for name in gone:
            del self.peers[name]

    def live(self, *, now: float) -> list[HostState]:
        """Returns this host and all that were heard from lately."""
        turns = self.cross_region_turns()
        heard_regions = {
            peer.state.region
            for peer in self.peers.values()
            if now - peer.heard_at < CROSS_REGION_SILENCE_S
        }
        heard = [
            peer.state
            for peer in self.peers.values()
            if now - peer.heard_at < self._silence_s(peer.state, turns)
            and peer.state.region in heard_regions
        ]
        return [self.own, *heard]

    def has_settled_follower(self, *, now: float) -> bool:
        """Says whether a host has heard the store for a while and still does.

        If so, the store itself was not away lately.
        """
        return any(
            now - since >= SETTLED_FOLLOWER_S
            and now - self.peers[name].heard_at < FOLLOWER_SILENCE_S
            for name, since in self.following_since.items()
            if name in self.peers
        )

    def near(self) -> list[HostState]:
        """Returns the other hosts of this region, silent ones too."""
        region = self.own.region
        states = (peer.state for peer in self.peers.values())
        return [state for state in states if state.region == region]

    def far(self) -> list[HostState]:
        """Returns the hosts of other regions, silent ones too."""
        region = self.own.region
        states = (peer.state for peer in self.peers.values())
        return [state for state in states if state.region != region]

    def cross_region_turns(self) -> int:
        """Returns over how many far heartbeats the far hosts are dealt."""
        return max(1, -(-len(self.far()) // LARGE_FLEET))

    def cross_region_followers(self) -> list[HostState]:
        """Returns the hosts of other regions that follow the store."""
        return [
            peer.state
            for name, peer in self.peers.items()
            if name in self.following_since
            and peer.state.region != self.own.region
        ]

    def _note_following(self, state: HostState, now: float) -> None:
        if state.store is StoreAccess.FOLLOWING:
            self.following_since.setdefault(state.name, now)
        else:
            self.following_since.pop(state.name, None)

    def _silence_s(self, state: HostState, turns: int) -> float:
        """Returns for how long a live host may be silent."""
        if state.region == self.own.region:
            return SILENCE_S
        return CROSS_REGION_SILENCE_S + (turns - 1) * CROSS_REGION_INTERVAL_S

    def names(self) -> tuple[str, ...]:
        """Returns the names of all known hosts, also silent ones."""
        return tuple(sorted((self.own.name, *self.peers)))


def _is_older(state: HostState, known: Peer, now: float) -> bool:
    """Says whether a heartbeat was overtaken by another one.

    A start that looks earlier is taken once the known one has fallen silent:
    the time of day may have been set back in between.
    """
    if state.incarnation == known.state.incarnation:
        return state.sequence <= known.state.sequence
    is_silent = now - known.heard_at > RESTART_SILENCE_S
    return state.incarnation < known.state.incarnation and not is_silent


def _stable_part(state: HostState) -> HostState:
    """Returns a state without what each heartbeat changes."""
    return state._replace(sequence=0, positions=Positions())


def entry_hosts(
    hosts: list[HostState], *, region: str, limit: int
) -> list[str]:
    """Returns where callers of a region should send requests.

    Args:
        hosts: Live hosts.
        region: Region of the caller.
        limit: Addresses to return at most.
    """
    ready = [host for host in hosts if host.is_ready]
    near = [host for host in ready if host.region == region]
    chosen = sorted(near or ready, key=lambda host: host.name)
    return [host.front for host in chosen[:limit]]
