"""Look-ups: which entry hosts a caller should use."""

import random
from typing import NamedTuple

from sardinewheel_core.intent import Intent
from sardinewheel_core.messages import HostState
from sardinewheel_core.ticket import Ticket

TTL_S = 5.0
TTL_JITTER = 0.4
HOSTS_PER_ANSWER = 3


class LookupEntry(NamedTuple):
    """One entry host of a look-up's answer, with a ticket for it."""

    host: str
    address: str
    ticket: str


class LookupAnswer(NamedTuple):
    """Entry hosts, best first, and how long the answer may be cached."""

    entries: tuple[LookupEntry, ...]
    ttl_s: float


def look_up(
    intent: Intent,
    ready: list[HostState],
    *,
    service: str,
    region: str | None,
    rng: random.Random,
) -> LookupAnswer:
    """Ranks the entry hosts for callers of a region.

    Hosts of failure domains with targets of the service come first, those of
    the callers' own region before others. Within a rank the order is random,
    weighted by free room.
    """
    domains = set()
    if service in intent.services:
        targets = intent.services[service].targets.values()
        domains = {target.domain for target in targets}

    def rank(state: HostState) -> tuple:
        is_home = region is not None and (
            intent.region_of(state.domain) == region
        )
        room = dict(state.rooms).get(service, 0)
        draw = rng.random() ** (1.0 / (1 + room))
        return (not is_home, state.domain not in domains, -draw)

    ranked = sorted(ready, key=rank)[:HOSTS_PER_ANSWER]
    entries = tuple(
        LookupEntry(
            s.name,
            s.http_address,
            str(Ticket(s.name, s.incarnation, s.epoch)),
        )
        for s in ranked
    )
    ttl = TTL_S * (1 - TTL_JITTER * rng.random())
    return LookupAnswer(entries, ttl)
