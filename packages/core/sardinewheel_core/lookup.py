"""Look-ups: which entry hosts a caller should use."""

import random
from typing import NamedTuple

from sardinewheel_core.intent import Intent
from sardinewheel_core.messages import HostState
from sardinewheel_core.ownership import slots_by_host
from sardinewheel_core.ticket import Ticket

TTL_S = 5.0
TTL_JITTER = 0.4
HOSTS_PER_ANSWER = 3
MAX_CANDIDATES = 16
INDEX_VALID_S = 0.5
SLOT_WEIGHT = 0.5


class LookupEntry(NamedTuple):
    """One entry host of a look-up's answer, with a ticket for it."""

    host: str
    address: str
    ticket: str


class LookupAnswer(NamedTuple):
    """Entry hosts, best first, and how long the answer may be cached."""

    entries: tuple[LookupEntry, ...]
    ttl_s: float


class LookupIndex:
    """Entry hosts by callers' region and service, for a short while.

    Ranking every host for every look-up would cost more than the rest of the
    look-up, so the ranks are kept until they are ``INDEX_VALID_S`` old.

    Attributes:
        intent: Intent that it was made from.
        made_at: When it was made.
    """

    def __init__(self, intent: Intent, ready: list[HostState], *, now: float):
        self.intent = intent
        self.made_at = now
        self._ready = ready
        self._tiers: dict[tuple[str | None, str], Tiers] = {}

    def is_valid(self, intent: Intent, now: float) -> bool:
        """Says whether it may still be used."""
        age_s = now - self.made_at
        return self.intent is intent and age_s < INDEX_VALID_S

    def look_up(
        self, *, service: str, region: str | None, rng: random.Random
    ) -> LookupAnswer:
        """Ranks the entry hosts for callers of a region.

        Hosts of the callers' own region come first, and among them those of
        failure domains with targets of the service. Within a rank the order is
        random, weighted by slots and free room.
        """
        key = (region, service)
        if key not in self._tiers:
            self._tiers[key] = self._make_tiers(service, region)
        chosen: list[LookupEntry] = []
        for tier in self._tiers[key]:
            missing = HOSTS_PER_ANSWER - len(chosen)
            if missing <= 0:
                break
            chosen += _draw(tier, missing, rng)
        ttl_s = TTL_S * (1 - TTL_JITTER * rng.random())
        return LookupAnswer(tuple(chosen), ttl_s)

    def _make_tiers(self, service: str, region: str | None) -> "Tiers":
        slots = slots_by_host(self.intent, service, self._ready)
        home = self.intent.regions.get(region)
        home_domains = set(home.domains) if home else set()
        tiers: Tiers = ([], [], [], [])
        for state in self._ready:
            is_far = state.domain not in home_domains
            is_bare = slots[state.name] == 0
            room = max(0, dict(state.rooms).get(service, 0))
            weight = 1.0 + SLOT_WEIGHT * slots[state.name] + room
            candidate = Candidate(_entry(state), 1.0 / weight)
            tiers[2 * is_far + is_bare].append(candidate)
        return tiers


class Candidate(NamedTuple):
    """An entry host in a rank; a smaller exponent is drawn more often."""

    entry: LookupEntry
    exponent: float


Tiers = tuple[list[Candidate], ...]


def _entry(state: HostState) -> LookupEntry:
    ticket = Ticket(state.name, state.incarnation, state.epoch)
    return LookupEntry(state.name, state.http_address, str(ticket))


def _draw(
    tier: list[Candidate], count: int, rng: random.Random
) -> list[LookupEntry]:
    """Draws hosts of one rank without replacement, weighted by room."""
    if len(tier) > MAX_CANDIDATES:
        tier = rng.sample(tier, MAX_CANDIDATES)
    drawn = [(rng.random() ** c.exponent, c.entry) for c in tier]
    drawn.sort(reverse=True)
    return [entry for _, entry in drawn[:count]]
