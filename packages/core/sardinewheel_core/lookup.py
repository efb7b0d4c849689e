"""Look-ups: select the entry hosts that a caller should use."""

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
INDEX_TTL_S = 0.5
SLOT_WEIGHT = 0.5


class LookupEntry(NamedTuple):
    """One entry host in the answer to a look-up, with a ticket for it."""

    host: str
    address: str
    ticket: str


class LookupAnswer(NamedTuple):
    """Entry hosts, best first, and how long the answer may be cached."""

    entries: tuple[LookupEntry, ...]
    ttl_s: float


class LookupIndex:
    """Cached ranking of the entry hosts, by caller region and service.

    Ranking every host for every look-up would cost more than the rest of the
    look-up, so the ranking is cached for ``INDEX_TTL_S`` seconds.

    Attributes:
        intent: Intent that the index was built from.
        built_at: When it was built.
    """

    def __init__(self, intent: Intent, ready: list[HostState], *, now: float):
        self.intent = intent
        self.built_at = now
        self._ready = ready
        self._tiers: dict[tuple[str | None, str], Tiers] = {}

    def is_valid(self, intent: Intent, now: float) -> bool:
        """Returns whether the index is still current."""
        age_s = now - self.built_at
        return self.intent is intent and age_s < INDEX_TTL_S

    def look_up(
        self, *, service: str, region: str | None, rng: random.Random
    ) -> LookupAnswer:
        """Selects entry hosts for callers of a region.

        Hosts of the callers' own region come first, and among them those that
        dispatch to targets of the service. Within a tier the order is random,
        weighted by slots and free capacity.
        """
        key = (region, service)
        if key not in self._tiers:
            self._tiers[key] = self._build_tiers(service, region)
        chosen: list[LookupEntry] = []
        for tier in self._tiers[key]:
            remaining = HOSTS_PER_ANSWER - len(chosen)
            if remaining <= 0:
                break
            chosen += _weighted_sample(tier, remaining, rng)
        ttl_s = TTL_S * (1 - TTL_JITTER * rng.random())
        return LookupAnswer(tuple(chosen), ttl_s)

    def _build_tiers(self, service: str, region: str | None) -> "Tiers":
        slots = slots_by_host(self.intent, service, self._ready)
        caller_region = self.intent.regions.get(region)
        domains = set(caller_region.domains) if caller_region else set()
        tiers: Tiers = ([], [], [], [])
        for state in self._ready:
            is_other_region = state.domain not in domains
            has_no_slots = slots[state.name] == 0
            free_capacity = max(0, dict(state.rooms).get(service, 0))
            weight = 1.0 + SLOT_WEIGHT * slots[state.name] + free_capacity
            candidate = Candidate(_entry(state), 1.0 / weight)
            tiers[2 * is_other_region + has_no_slots].append(candidate)
        return tiers


class Candidate(NamedTuple):
    """An entry host in a tier; a smaller exponent is drawn more often."""

    entry: LookupEntry
    exponent: float


Tiers = tuple[list[Candidate], ...]


def _entry(state: HostState) -> LookupEntry:
    ticket = Ticket(state.name, state.incarnation, state.epoch)
    return LookupEntry(state.name, state.http_address, str(ticket))


def _weighted_sample(
    tier: list[Candidate], count: int, rng: random.Random
) -> list[LookupEntry]:
    """Samples hosts of one tier without replacement, weighted by capacity."""
    if len(tier) > MAX_CANDIDATES:
        tier = rng.sample(tier, MAX_CANDIDATES)
    drawn = [(rng.random() ** c.exponent, c.entry) for c in tier]
    drawn.sort(reverse=True)
    return [entry for _, entry in drawn[:count]]
