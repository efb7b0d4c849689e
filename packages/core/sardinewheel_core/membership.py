"""Which entry hosts there are, by gossip of heartbeats.

Every host raises its own heartbeat counter and passes on the states that it
heard of most recently. A host is alive as long as its counter keeps rising;
the platform's host list is never proof of life or death.
"""

import random
from typing import NamedTuple

from sardinewheel_core.messages import Heartbeat, HostState, Phase

GOSSIP_INTERVAL_S = 0.5
SUSPECT_AFTER_S = 3.0
FORGET_AFTER_S = 600.0
FANOUT_DOMAIN = 2
FANOUT_ELSEWHERE = 2
MAX_STATES_PER_HEARTBEAT = 24


class Peer(NamedTuple):
    """Where a heartbeat goes."""

    host: str
    address: str


class Membership:
    """The entry hosts that this host knows of.

    Attributes:
        own: State of this host.
        states: Latest state heard of each other host, by name.
        heard_at: When each state's counter last rose, on the local clock.
        seeds: Peer addresses to try while few hosts are known.
    """

    def __init__(
        self, *, own: HostState, seeds: tuple[str, ...], rng: random.Random
    ):
        self.own = own
        self.states: dict[str, HostState] = {}
        self.heard_at: dict[str, float] = {}
        self.seeds = seeds
        self.rng = rng
        self.next_gossip_at = 0.0

    def absorb(self, now: float, states: tuple[HostState, ...]) -> None:
        """Takes in states that are newer than what is known."""
        for state in states:
            if state.name == self.own.name:
                continue
            known = self.states.get(state.name)
            if known is None or _order(state) > _order(known):
                self.states[state.name] = state
                self.heard_at[state.name] = now

    def is_superseded(self, states: tuple[HostState, ...]) -> bool:
        """Says whether a newer incarnation occupies this host's seat."""
        return any(
            s.name == self.own.name and s.incarnation > self.own.incarnation
            for s in states
        )

    def is_alive(self, now: float, name: str) -> bool:
        """Says whether a host's heartbeat rose recently."""
        if name == self.own.name:
            return True
        state = self.states.get(name)
        if state is None or state.phase is Phase.GONE:
            return False
        return now - self.heard_at[name] < SUSPECT_AFTER_S

    def alive(self, now: float) -> list[HostState]:
        """Returns the live hosts, this one included, ordered by name."""
        others = [s for s in self.states.values() if self.is_alive(now, s.name)]
        return sorted([self.own, *others])

    def ready(self, now: float) -> list[HostState]:
        """Returns the live hosts that take requests, ordered by name."""
        return [s for s in self.alive(now) if s.phase is Phase.READY]

    def gossip(self, now: float) -> list[tuple[Peer, Heartbeat]]:
        """Returns the heartbeats that are due."""
        if now < self.next_gossip_at:
            return []
        self.next_gossip_at = now + GOSSIP_INTERVAL_S
        self.own = self.own._replace(beat=self.own.beat + 1)
        self._forget(now)
        heartbeat = Heartbeat((self.own, *self._freshest()))
        return [(peer, heartbeat) for peer in self._choose_peers(now)]

    def announce(self) -> list[tuple[Peer, Heartbeat]]:
        """Returns heartbeats for every known host, for urgent news."""
        self.own = self.own._replace(beat=self.own.beat + 1)
        heartbeat = Heartbeat((self.own,))
        return [
            (Peer(s.name, s.peer_address), heartbeat)
            for s in self.states.values()
            if s.phase is not Phase.GONE
        ]

    def _freshest(self) -> list[HostState]:
        names = sorted(self.heard_at, key=self.heard_at.get, reverse=True)
        return [self.states[n] for n in names[:MAX_STATES_PER_HEARTBEAT]]

    def _choose_peers(self, now: float) -> list[Peer]:
        alive = [s for s in self.alive(now) if s.name != self.own.name]
        near = [s for s in alive if s.domain == self.own.domain]
        far = [s for s in alive if s.domain != self.own.domain]
        chosen = self.sample(near, FANOUT_DOMAIN)
        chosen += self.sample(far, FANOUT_ELSEWHERE)
        peers = [Peer(s.name, s.peer_address) for s in chosen]
        known = {s.peer_address for s in alive} | {self.own.peer_address}
        silent = [a for a in self.seeds if a not in known]
        peers += [Peer("", address) for address in self.sample(silent, 1)]
        return peers

    def sample(self, items: list, count: int) -> list:
        """Returns up to ``count`` random items."""
        return self.rng.sample(items, min(count, len(items)))

    def _forget(self, now: float) -> None:
        for name, heard_at in list(self.heard_at.items()):
            if now - heard_at > FORGET_AFTER_S:
                del self.heard_at[name]
                del self.states[name]


def _order(state: HostState) -> tuple[int, int]:
    return state.incarnation, state.beat
