"""Membership of entry hosts, by gossip.

A heartbeat carries a few complete host states and, for many hosts, only a
beat id (a hash of seat and incarnation) and a heartbeat counter, which only
the host itself increments and other hosts relay. A host is alive while its
counter keeps increasing; the platform's host list is never evidence that a
host is alive or dead.

Hosts of the same failure domain (local hosts) exchange heartbeats often, hosts
of other domains (remote hosts) rarely, so the bytes that a host sends do not
grow with the whole system.
"""

import bisect
import random
import zlib
from typing import NamedTuple

from sardinewheel_core.messages import Heartbeat, HostState, Phase

GOSSIP_INTERVAL_S = 0.5
REMOTE_GOSSIP_INTERVAL_S = 1.0
SUSPECT_AFTER_S = 3.0
SUSPECT_PER_LOCAL_HOST_S = 0.05
SUSPECT_PER_REMOTE_HOST_S = 0.2
MAX_SUSPECT_AFTER_S = 60.0
FORGET_AFTER_S = 600.0
PAUSE_THRESHOLD_S = 2.0
RECENT_CHANGE_S = 5.0
SMALL_DOMAIN_HOSTS = 16
MAX_RECENT_STATES = 2
MAX_STATES_SMALL = 6
MAX_STATES = 3
LARGE_DOMAIN_HOSTS = 64
LARGE_FLEET_HOSTS = 200
SCAN_INTERVAL_S = 0.5
FANOUT = 3
FANOUT_LARGE = 2
FANOUT_REMOTE = 2
MAX_LOCAL_COUNTERS = 128
MAX_REMOTE_COUNTERS = 32
MAX_REMOTE_ANNOUNCED = 32
MAX_STATES_WANTED = 16
BEAT_ID_MASK = 0xFFFFFFFF

HeartbeatCounter = tuple[int, int]


class Peer(NamedTuple):
    """Receiver of a heartbeat.

    Attributes:
        host: Seat of the receiver; empty when only the address is known.
        address: ``host:port`` of its peer interface.
    """

    host: str
    address: str


class Membership:
    """Entry hosts known to this host.

    Attributes:
        own: State of this host.
        states: Latest state received of each other host, by name.
        heartbeat_counters: Highest counter received of each other host.
        last_heartbeat_at: When each counter last increased, on the local
            clock.
        changed_at: When each state last changed in more than its heartbeat
            counter, epoch and free slots.
        names: Names by beat id.
        seeds: Peer addresses to contact while no live host is known there.
        rotations: Local and remote hosts still to be sent a heartbeat in the
            current round, in random order.
        next_gossip_at: When heartbeats are sent next.
        next_remote_gossip_at: When a remote host is sent a heartbeat next, if
            there are many.
        next_scan_at: When all known hosts may be scanned next, in a large
            fleet.
        ticked_at: Instant of the last tick, or ``None``.
    """

    def __init__(
        self, *, own: HostState, seeds: tuple[str, ...], rng: random.Random
    ):
        self.own = own
        self.states: dict[str, HostState] = {}
        self.heartbeat_counters: dict[str, int] = {}
        self.last_heartbeat_at: dict[str, float] = {}
        self.changed_at: dict[str, float] = {}
        self.names: dict[int, str] = {}
        self.seeds = seeds
        self.rng = rng
        self.rotations: dict[str, list[str]] = {}
        self.next_gossip_at = 0.0
        self.next_remote_gossip_at = 0.0
        self.next_scan_at = 0.0
        self.ticked_at: float | None = None
        self._local_count = 0
        self._changes = 0
        self._alive_key = (float("-inf"), -1)
        self._alive: list[HostState] = []

    def merge_states(self, now: float, states: tuple[HostState, ...]) -> None:
        """Merges received states that are newer than the known ones."""
        for state in states:
            if state.name == self.own.name:
                continue
            known = self.states.get(state.name)
            if known is not None and _recency(state) <= _recency(known):
                continue
            if known is None or _significant_state(state) != _significant_state(
                known
            ):
                self.changed_at[state.name] = now
            self._changes += 1
            is_new = known is None or known.incarnation != state.incarnation
            self._store(state)
            if is_new or state.beat > self.heartbeat_counters[state.name]:
                self.heartbeat_counters[state.name] = state.beat
                self.last_heartbeat_at[state.name] = now

    def merge_heartbeat_counters(
        self, now: float, counters: tuple[HeartbeatCounter, ...]
    ) -> tuple[int, ...]:
        """Merges received heartbeat counters that increased.

        Args:
            now: Time on the monotonic clock, in seconds.
            counters: Pairs of a host's beat id and its heartbeat counter.

        Returns:
            Beat ids of hosts whose state this host lacks, at most
            ``MAX_STATES_WANTED``.
        """
        unknown = []
        for beat_id, counter in counters:
            name = self.names.get(beat_id)
            if name is None:
                unknown.append(beat_id)
            elif counter > self.heartbeat_counters.get(name, 0):
                self.heartbeat_counters[name] = counter
                self.last_heartbeat_at[name] = now
                self._changes += 1
        own_id = beat_id_of(self.own)
        return tuple(i for i in unknown if i != own_id)[:MAX_STATES_WANTED]

    def find_states(self, beat_ids: tuple[int, ...]) -> tuple[HostState, ...]:
        """Returns the states that a peer requests by beat id."""
        names = (self.names.get(i) for i in beat_ids[:MAX_STATES_WANTED])
        return tuple(self.states[n] for n in names if n is not None)

    def on_tick(self, now: float) -> None:
        """Adds a pause of this host to the time of each last heartbeat.

        Otherwise the other hosts would be suspected because no heartbeats
        were processed during the pause.
        """
        if (
            self.ticked_at is not None
            and now - self.ticked_at > PAUSE_THRESHOLD_S
        ):
            pause_s = now - self.ticked_at
            self.last_heartbeat_at = {
                n: t + pause_s for n, t in self.last_heartbeat_at.items()
            }
            self._changes += 1
        self.ticked_at = now

    def is_superseded(self, states: tuple[HostState, ...]) -> bool:
        """Returns whether a newer incarnation occupies this host's seat."""
        return any(
            s.name == self.own.name and s.incarnation > self.own.incarnation
            for s in states
        )

    def suspect_after_s(self, state: HostState) -> float:
        """Returns the seconds of silence until a host is presumed dead."""
        extra_s = SUSPECT_PER_LOCAL_HOST_S * self._local_count
        if state.domain != self.own.domain:
            remote_count = len(self.states) - self._local_count
            extra_s = SUSPECT_PER_REMOTE_HOST_S * remote_count
        return min(MAX_SUSPECT_AFTER_S, SUSPECT_AFTER_S + extra_s)

    def is_alive(self, now: float, name: str) -> bool:
        """Returns whether a host's heartbeat counter increased recently."""
        if name == self.own.name:
            return True
        state = self.states.get(name)
        if state is None or state.phase is Phase.GONE:
            return False
        return now - self.last_heartbeat_at[name] < self.suspect_after_s(state)

    def alive(self, now: float) -> list[HostState]:
        """Returns the live hosts, this one included, ordered by name.

        In a large fleet the other hosts are scanned every ``SCAN_INTERVAL_S``.
        """
        key = (now, self._changes)
        age_s = now - self._alive_key[0]
        is_recent = self.is_large and 0 <= age_s < SCAN_INTERVAL_S
        if key != self._alive_key and not is_recent:
            self._alive = sorted(
                s for s in self.states.values() if self.is_alive(now, s.name)
            )
            self._alive_key = key
        alive = list(self._alive)
        bisect.insort(alive, self.own)
        return alive

    @property
    def is_large(self) -> bool:
        """Whether scanning all known hosts in each tick is too expensive."""
        return len(self.states) > LARGE_FLEET_HOSTS

    def is_scan_due(self, now: float) -> bool:
        """Returns whether a scan of all hosts is due; schedules the next."""
        if self.is_large and now < self.next_scan_at:
            return False
        self.next_scan_at = now + SCAN_INTERVAL_S
        return True

    def ready(self, now: float) -> list[HostState]:
        """Returns the live hosts that accept requests, ordered by name."""
        return [s for s in self.alive(now) if s.phase is Phase.READY]

    def gossip(self, now: float) -> list[tuple[Peer, Heartbeat]]:
        """Returns the heartbeats that are due."""
        if now < self.next_gossip_at:
            return []
        self.next_gossip_at = now + GOSSIP_INTERVAL_S
        self.own = self.own._replace(beat=self.own.beat + 1)
        self._forget(now)
        peers = self._choose_peers(now)
        if not peers:
            return []
        heartbeat = self.heartbeat(now)
        return [(peer, heartbeat) for peer in peers]

    def heartbeat(self, now: float) -> Heartbeat:
        """Returns a heartbeat with the own state and samples of the others."""
        alive = [s for s in self.alive(now) if s.name != self.own.name]
        local = [s for s in alive if s.domain == self.own.domain]
        remote = [s for s in alive if s.domain != self.own.domain]
        included = self.sample(local, MAX_LOCAL_COUNTERS)
        included += self.sample(remote, MAX_REMOTE_COUNTERS)
        beats = tuple(
            (beat_id_of(s), self.heartbeat_counters[s.name]) for s in included
        )
        return Heartbeat((self.own, *self._select_states(now, included)), beats)

    def announce(self) -> list[tuple[Peer, Heartbeat]]:
        """Returns heartbeats that announce a change of the own state at once.

        They are sent to up to ``MAX_LOCAL_COUNTERS`` local and
        ``MAX_REMOTE_ANNOUNCED`` remote hosts, which relay the state.
        """
        self.own = self.own._replace(beat=self.own.beat + 1)
        heartbeat = Heartbeat((self.own,))
        others = [s for s in self.states.values() if s.phase is not Phase.GONE]
        local = [s for s in others if s.domain == self.own.domain]
        remote = [s for s in others if s.domain != self.own.domain]
        chosen = self.sample(local, MAX_LOCAL_COUNTERS)
        chosen += self.sample(remote, MAX_REMOTE_ANNOUNCED)
        return [(Peer(s.name, s.peer_address), heartbeat) for s in chosen]

    def sample(self, items: list, count: int) -> list:
        """Returns up to ``count`` random items."""
        return self.rng.sample(items, min(count, len(items)))

    def _select_states(
        self, now: float, included: list[HostState]
    ) -> list[HostState]:
        """Returns the most recently changed states, then random other ones."""
        is_small = self._local_count < SMALL_DOMAIN_HOSTS
        count = (MAX_STATES_SMALL if is_small else MAX_STATES) - 1
        recent = [
            n for n, at in self.changed_at.items() if now - at < RECENT_CHANGE_S
        ]
        recent.sort(key=self.changed_at.get, reverse=True)
        chosen = [self.states[n] for n in recent[:MAX_RECENT_STATES]]
        names = {s.name for s in chosen}
        rest = [s for s in included if s.name not in names]
        return chosen + self.sample(rest, count - len(chosen))

    def _choose_peers(self, now: float) -> list[Peer]:
        alive = [s for s in self.alive(now) if s.name != self.own.name]
        local = [s for s in alive if s.domain == self.own.domain]
        remote = [s for s in alive if s.domain != self.own.domain]
        is_large = self._local_count >= LARGE_DOMAIN_HOSTS
        chosen = self._next_in_rotation(
            "local", local, FANOUT_LARGE if is_large else FANOUT
        )
        if len(remote) <= MAX_REMOTE_COUNTERS:
            chosen += self._next_in_rotation("remote", remote, FANOUT_REMOTE)
        elif now >= self.next_remote_gossip_at:
            self.next_remote_gossip_at = now + REMOTE_GOSSIP_INTERVAL_S
            chosen += self._next_in_rotation("remote", remote, 1)
        peers = [Peer(s.name, s.peer_address) for s in chosen]
        known = {s.peer_address for s in alive} | {self.own.peer_address}
        silent = [a for a in self.seeds if a not in known]
        return peers + [Peer("", a) for a in self.sample(silent, 1)]

    def _next_in_rotation(
        self, group: str, states: list[HostState], count: int
    ) -> list[HostState]:
        """Returns the next hosts of a group, in random round-robin order."""
        rotations = self.rotations.setdefault(group, [])
        by_name = {s.name: s for s in states}
        if not any(name in by_name for name in rotations):
            rotations[:] = self.sample(list(by_name), len(by_name))
        chosen: list[HostState] = []
        while rotations and len(chosen) < count:
            name = rotations.pop()
            if name in by_name:
                chosen.append(by_name[name])
        return chosen

    def _store(self, state: HostState) -> None:
        known = self.states.get(state.name)
        if known is not None:
            self._local_count -= known.domain == self.own.domain
            self.names.pop(beat_id_of(known), None)
        self.states[state.name] = state
        self._local_count += state.domain == self.own.domain
        self.names[beat_id_of(state)] = state.name

    def _forget(self, now: float) -> None:
        for name, last_heartbeat_at in list(self.last_heartbeat_at.items()):
            if now - last_heartbeat_at > FORGET_AFTER_S:
                self._changes += 1
                state = self.states.pop(name)
                self._local_count -= state.domain == self.own.domain
                self.names.pop(beat_id_of(state), None)
                for values in (
                    self.heartbeat_counters,
                    self.last_heartbeat_at,
                    self.changed_at,
                ):
                    values.pop(name, None)


def beat_id_of(state: HostState) -> int:
    """Returns the 32-bit id that heartbeats use for a host's incarnation."""
    text = f"{state.name}/{state.incarnation:x}"
    return zlib.crc32(text.encode()) & BEAT_ID_MASK


def _recency(state: HostState) -> tuple[int, int]:
    return state.incarnation, state.beat


def _significant_state(state: HostState) -> HostState:
    """Returns a state without the fields whose changes are not urgent."""
    return state._replace(beat=0, epoch=0, rooms=())
