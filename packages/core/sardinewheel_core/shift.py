"""Shifts: gradual moves of a service's traffic to another region.

The cap of a shift is split into integer quotas, one for each seat of the
source region, that add up to the cap. A host counts the weight of each request
that it moves, and moves no request that would raise the weight moved in the
last ``interval_s`` above its quota. The position of a shift, the share of
requests that the host tries to move, grows gradually from 0 to the configured
share. A tick advances it by at most ``MAX_STEP_S``, so that it does not jump
when a suspended process resumes.
"""

from collections import deque
from enum import StrEnum
from typing import TYPE_CHECKING

from sardinewheel_core.allowance import SUPERSEDE_DETECTION_S
from sardinewheel_core.exchange import Exchange
from sardinewheel_core.intent import Shift
from sardinewheel_core.messages import HostState, Strain

if TYPE_CHECKING:
    from sardinewheel_core.host import EntryHost

MAX_STEP_S = 0.5
CLOCK_MARGIN = 0.02
WARMUP_SHARE = 0.1
ADOPTION_WINDOW_S = 3.0
PER_MILLE = 1000


class HoldReason(StrEnum):
    """Why the position of a shift does not grow.

    ``NO_VISIBLE_HOST``: no ready host of the destination region is known.
    ``COLD``: targets of the destination have answered too few requests so far.
    ``SHEDDING``: targets of the destination reject requests.
    ``SEAT_QUARANTINED``: this host may not use the share of its seat yet.
    """

    NONE = "none"
    NO_VISIBLE_HOST = "blind"
    COLD = "cold"
    SHEDDING = "shedding"
    SEAT_QUARANTINED = "seat"


class ShiftState:
    """State of one shift on this host.

    Attributes:
        position: Share of the source's requests that the host tries to move.
        hold: Why the position does not grow.
        quota: Weight units of the cap that this seat may move in an interval.
        pending_quota: Higher quota that applies from ``pending_from`` on, or
            0.
        pending_from: Instant from which a raised quota applies.
        moved: Instant and weight of each request moved in the last interval.
        moved_units: Sum of these weights.
        advanced_at: Instant at which the position was last updated.
    """

    def __init__(self, *, now: float):
        self.position = 0.0
        self.hold = HoldReason.NONE
        self.quota = 0
        self.pending_quota = 0
        self.pending_from = now
        self.moved: deque[tuple[float, int]] = deque()
        self.moved_units = 0
        self.advanced_at = now

    def expire_before(self, instant: float) -> None:
        """Drops moved requests that were counted before an instant."""
        while self.moved and self.moved[0][0] < instant:
            self.moved_units -= self.moved.popleft()[1]

    def count(self, now: float, weight: int) -> None:
        """Counts a moved request."""
        self.moved.append((now, weight))
        self.moved_units += weight

    def set_quota(self, now: float, quota: int, window_s: float) -> None:
        """Lowers the quota at once; raises it after one window.

        Until then, requests moved by the seats that had these units before
        may still count in the interval.
        """
        if quota <= self.quota:
            self.quota = quota
            self.pending_quota = 0
        elif quota != self.pending_quota:
            self.pending_quota = quota
            self.pending_from = now + window_s
        elif now >= self.pending_from:
            self.quota = quota


class ShiftTracker:
    """State of all shifts on this host.

    Attributes:
        states: State by name of the shift.
        started_at: Instant at which this host started; the weight moved by
            the previous process in its seat is unknown.
        adoption_ends_at: Instant until which it adopts the positions that
            hosts of the source region report.
    """

    def __init__(self, *, now: float):
        self.states: dict[str, ShiftState] = {}
        self.started_at = now
        self.adoption_ends_at = now + ADOPTION_WINDOW_S

    def positions(self) -> tuple[tuple[str, int], ...]:
        """Returns the positions to report to peers, in per mille."""
        return tuple(
            (name, int(state.position * PER_MILLE))
            for name, state in self.states.items()
        )


def on_tick(host: "EntryHost", now: float) -> None:
    """Updates the state of every shift away from this host's region."""
    tracker = host.shifts
    shifts = host.configuration.intent.shifts
    if not shifts and not tracker.states:
        return
    for shift in shifts.values():
        if shift.source != host.region:
            continue
        state = tracker.states.get(shift.name)
        if state is None:
            state = tracker.states[shift.name] = _start(host, now, shift)
        _update(host, now, shift, state)
    for name in [n for n in tracker.states if n not in shifts]:
        # Requests moved by an ended shift count against the quota of a new
        # shift of the same name.
        state = tracker.states[name]
        state.position = 0.0
        if not state.moved:
            del tracker.states[name]


def choose(host: "EntryHost", now: float, exchange: Exchange) -> Shift | None:
    """Selects the shift that moves a request, if any.

    The request is not counted; see :func:`count`.
    """
    request = exchange.request
    if request.hops and not exchange.is_owned:
        return None
    shifts = [
        shift
        for shift in host.configuration.intent.shifts.values()
        if shift.service == request.service and shift.name in host.shifts.states
    ]
    if not shifts or host.region_of_block(request.block) != host.region:
        return None
    draw = host.rng.random()
    for shift in sorted(shifts):
        draw -= host.shifts.states[shift.name].position
        if draw < 0:
            has_quota = _has_quota(host, now, shift, request.weight)
            return shift if has_quota else None
    return None


def count(host: "EntryHost", now: float, shift: Shift, weight: int) -> None:
    """Counts a request that is moved by a shift."""
    host.shifts.states[shift.name].count(now, weight)


def window_s(shift: Shift) -> float:
    """Returns the interval of a shift plus ``CLOCK_MARGIN``, in seconds.

    The margin covers a local clock that runs fast.
    """
    return shift.interval_s * (1 + CLOCK_MARGIN)


def split_cap(cap: int, seats: list[str]) -> dict[str, int]:
    """Returns the quota of each seat; the quotas add up to the cap.

    Examples:
        >>> split_cap(5, ["quito-1", "quito-2"])
        {'quito-1': 3, 'quito-2': 2}
    """
    if not seats:
        return {}
    quotient, remainder = divmod(cap, len(seats))
    ordered = enumerate(sorted(seats))
    return {name: quotient + (i < remainder) for i, name in ordered}


def _has_quota(
    host: "EntryHost", now: float, shift: Shift, weight: int
) -> bool:
    state = host.shifts.states[shift.name]
    state.expire_before(now - window_s(shift))
    window_is_covered = (
        now >= host.shifts.started_at + window_s(shift) + SUPERSEDE_DETECTION_S
    )
    return (
        window_is_covered
        and not host.allowance.is_quarantined(now)
        and state.moved_units + weight <= state.quota
    )


def _start(host: "EntryHost", now: float, shift: Shift) -> ShiftState:
    state = ShiftState(now=now)
    state.quota = _seat_quota(host, shift)
    host.report(now, "shift-begun", shift=shift.name, part=state.quota)
    return state


def _seat_quota(host: "EntryHost", shift: Shift) -> int:
    """Returns the lowest quota of this seat in any version still in use.

    A version is in use as long as its seat shares may still be held.
    """
    tables = host.shares.limiting_shares()
    quotas = [
        split_cap(shift.cap, list(t)).get(host.identity.name, 0) for t in tables
    ]
    return min(quotas, default=0)


def _update(
    host: "EntryHost", now: float, shift: Shift, state: ShiftState
) -> None:
    state.expire_before(now - window_s(shift))
    state.set_quota(now, _seat_quota(host, shift), window_s(shift))
    step_s = min(now - state.advanced_at, MAX_STEP_S)
    state.advanced_at = now
    if now < host.shifts.adoption_ends_at and not shift.aborted:
        state.position = _adopted_position(host, now, shift)
        return
    step = shift.share * step_s / shift.pace_s
    if shift.aborted:
        state.position = max(0.0, state.position - step)
        return
    hold = _hold_reason(host, now, shift, state)
    if hold is not state.hold:
        state.hold = hold
        host.report(
            now,
            "shift-hold" if hold is not HoldReason.NONE else "shift-resumed",
            shift=shift.name,
            reason=str(hold),
            position=round(state.position, 3),
        )
    if hold is HoldReason.NONE:
        state.position = min(shift.share, state.position + step)


def _adopted_position(host: "EntryHost", now: float, shift: Shift) -> float:
    """Returns the lowest position that hosts of the source region report."""
    reported = [
        dict(s.positions)[shift.name] / PER_MILLE
        for s in _hosts_of(host, now, shift.source)
        if shift.name in dict(s.positions)
    ]
    return min(reported, default=0.0)


def _hold_reason(
    host: "EntryHost", now: float, shift: Shift, state: ShiftState
) -> HoldReason:
    if host.allowance.is_quarantined(now):
        return HoldReason.SEAT_QUARANTINED
    hosts = _hosts_of(host, now, shift.destination)
    if not hosts:
        return HoldReason.NO_VISIBLE_HOST
    strains = [dict(s.strains).get(shift.service) for s in hosts]
    if Strain.SHEDDING in strains:
        return HoldReason.SHEDDING
    is_warming = state.position < WARMUP_SHARE * shift.share
    if Strain.COLD in strains and not is_warming:
        return HoldReason.COLD
    return HoldReason.NONE


def _hosts_of(host: "EntryHost", now: float, region: str) -> list[HostState]:
    intent = host.configuration.intent
    return [
        s
        for s in host.membership.ready(now)
        if s.name != host.identity.name and intent.region_of(s.domain) == region
    ]
