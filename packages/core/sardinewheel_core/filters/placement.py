"""Selects the region and the host that execute a request."""

from typing import TYPE_CHECKING

from sardinewheel_core import shift
from sardinewheel_core.exchange import MAX_HOPS, Exchange
from sardinewheel_core.filters.verdict import Continue, Delegate, Verdict
from sardinewheel_core.messages import HostState
from sardinewheel_core.ownership import slots_by_host
from sardinewheel_core.request import Reason

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

MAX_OVERFLOW_ATTEMPTS = 2


def apply(host: "EntryHost", now: float, exchange: Exchange) -> Verdict:
    """Forwards a request if a shift moves it or only peers have capacity."""
    moved = _forward_if_shifted(host, now, exchange)
    if moved is not None:
        return moved
    if exchange.request.hops >= MAX_HOPS or _has_capacity(host, now, exchange):
        return Continue()
    if exchange.attempts >= MAX_OVERFLOW_ATTEMPTS:
        # Peers had less capacity than they announced, so it is queued here.
        return Continue()
    peer = _best_peer(host, now, exchange)
    if peer is None and host.targets.slots(exchange.request.service) == 0:
        peer = _any_host_with_targets(host, now, exchange)
    if peer is None:
        return Continue()
    return Delegate(peer, Reason.OVERFLOW)


def _any_host_with_targets(
    host: "EntryHost", now: float, exchange: Exchange
) -> HostState | None:
    """Returns a random host with targets, whatever capacity it announced.

    A host without targets cannot queue the request, and the announced capacity
    may be out of date.
    """
    ready = host.membership.ready(now)
    service = exchange.request.service
    slots = slots_by_host(host.configuration.intent, service, ready)
    owners = [
        s
        for s in ready
        if slots[s.name] > 0
        and s.name != host.identity.name
        and s.name not in exchange.refused_by
    ]
    return host.rng.choice(owners) if owners else None


def _has_capacity(host: "EntryHost", now: float, exchange: Exchange) -> bool:
    request = exchange.request
    return (
        host.targets.free_slots(request.service, now) > 0
        and host.allowance.free_units(now) >= request.weight
    )


def _forward_if_shifted(
    host: "EntryHost", now: float, exchange: Exchange
) -> Delegate | None:
    """Decides once whether a traffic shift moves a request; counts it if so."""
    if exchange.shift is not None:
        return None
    exchange.shift = ""
    chosen = shift.choose(host, now, exchange)
    if chosen is None:
        return None
    peer = _best_peer(host, now, exchange, region=chosen.destination)
    if peer is None:
        return None
    exchange.shift = chosen.name
    shift.count(host, now, chosen, exchange.request.weight)
    return Delegate(peer, Reason.SHIFTED)


def _best_peer(
    host: "EntryHost",
    now: float,
    exchange: Exchange,
    *,
    region: str | None = None,
) -> HostState | None:
    intent = host.configuration.intent
    service = exchange.request.service
    peers = [
        s
        for s in host.membership.ready(now)
        if s.name != host.identity.name
        and s.name not in exchange.refused_by
        and dict(s.rooms).get(service, 0) > 0
        and region in (None, intent.region_of(s.domain))
    ]

    def rank(state: HostState) -> tuple:
        return (
            state.domain != host.identity.domain,
            intent.region_of(state.domain) != host.region,
            -dict(state.rooms)[service] * host.rng.random(),
        )

    return min(peers, key=rank, default=None)
