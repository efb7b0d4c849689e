"""Shifts: how much traffic of a service this host moves to another region.

Each seat of the source region holds an integer part of a shift's cap, and the
parts add up to it. A host counts the weight of each request that it moves and
moves none that would bring the weight of the last ``interval_s`` above its
part. The share of requests that it tries to move, its position, grows slowly
from 0 to the goal and never because time has passed unnoticed.
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
WARMING_SHARE = 0.1
ADOPT_S = 3.0
PER_MILLE = 1000


class Hold(StrEnum):
    """Why the position of a shift does not grow.

    ``BLIND``: no host of the destination is heard of.
    ``COLD``: its targets have answered too little so far.
    ``SHEDDING``: its targets refuse work.
    ``SEAT``: this host may not use its seat.
    """

    NONE = "none"
    BLIND = "blind"
    COLD = "cold"
    SHEDDING = "shedding"
    SEAT = "seat"


class ShiftState:
    """What this host does about one shift.

    Attributes:
        position: Share of the source's requests that it tries to move.
        hold: Why the position does not grow.
        part: Units of the cap that this seat may move in an interval.
        raised: Part that is used from ``raise_at`` on, or 0.
        raise_at: When a part that has risen is used.
        moved: Instant and weight of each move in the last interval.
        moved_units: Sum of these weights.
        advanced_at: When the position was last considered.
    """

    def __init__(self, *, now: float):
        self.position = 0.0
        self.hold = Hold.NONE
        self.part = 0
        self.raised = 0
        self.raise_at = now
        self.moved: deque[tuple[float, int]] = deque()
        self.moved_units = 0
        self.advanced_at = now

    def forget_before(self, instant: float) -> None:
        """Drops moves that are older than the interval."""
        while self.moved and self.moved[0][0] < instant:
            self.moved_units -= self.moved.popleft()[1]

    def count(self, now: float, weight: int) -> None:
        """Counts a move."""
        self.moved.append((now, weight))
        self.moved_units += weight

    def set_part(self, now: float, part: int, window_s: float) -> None:
        """Lowers the part at once; raises it when others' moves are over."""
        if part <= self.part:
            self.part = part
            self.raised = 0
        elif part != self.raised:
            self.raised = part
            self.raise_at = now + window_s
        elif now >= self.raise_at:
            self.part = part


class ShiftBook:
    """The shifts of this host.

    Attributes:
        states: State by name of the shift.
        started_at: When this host started; what its predecessor moved is
            unknown to it.
        adopts_until: Until when it takes over its neighbours' positions.
    """

    def __init__(self, *, now: float):
        self.states: dict[str, ShiftState] = {}
        self.started_at = now
        self.adopts_until = now + ADOPT_S

    def positions(self) -> tuple[tuple[str, int], ...]:
        """Returns the positions as neighbours hear them, per mille."""
        return tuple(
            (name, int(state.position * PER_MILLE))
            for name, state in self.states.items()
        )


def on_tick(host: "EntryHost", now: float) -> None:
    """Moves every position on."""
    book = host.shifts
    shifts = host.configuration.intent.shifts
    if not shifts and not book.states:
        return
    for shift in shifts.values():
        if shift.source != host.region:
            continue
        state = book.states.get(shift.name)
        if state is None:
            state = book.states[shift.name] = _begin(host, now, shift)
        _update(host, now, shift, state)
    for name in [n for n in book.states if n not in shifts]:
        # The moves of an ended shift still count for one of the same name.
        state = book.states[name]
        state.position = 0.0
        if not state.moved:
            del book.states[name]


def choose(host: "EntryHost", now: float, exchange: Exchange) -> Shift | None:
    """Returns the shift that moves a request, if any; counts nothing yet."""
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
            fits = _fits(host, now, shift, request.weight)
            return shift if fits else None
    return None


def count(host: "EntryHost", now: float, shift: Shift, weight: int) -> None:
    """Counts a request that is moved now."""
    host.shifts.states[shift.name].count(now, weight)


def window_s(shift: Shift) -> float:
    """Returns the interval on a clock that may run fast, in seconds."""
    return shift.interval_s * (1 + CLOCK_MARGIN)


def parts_of(cap: int, seats: list[str]) -> dict[str, int]:
    """Returns the part of each seat; the parts add up to the cap.

    Examples:
        >>> parts_of(5, ["quito-1", "quito-2"])
        {'quito-1': 3, 'quito-2': 2}
    """
    if not seats:
        return {}
    base, rest = divmod(cap, len(seats))
    ordered = enumerate(sorted(seats))
    return {name: base + (i < rest) for i, name in ordered}


def _fits(host: "EntryHost", now: float, shift: Shift, weight: int) -> bool:
    state = host.shifts.states[shift.name]
    state.forget_before(now - window_s(shift))
    knows_window = (
        now >= host.shifts.started_at + window_s(shift) + SUPERSEDE_DETECTION_S
    )
    return (
        knows_window
        and not host.allowance.is_quarantined(now)
        and state.moved_units + weight <= state.part
    )


def _begin(host: "EntryHost", now: float, shift: Shift) -> ShiftState:
    state = ShiftState(now=now)
    state.part = _part(host, shift)
    host.report(now, "shift-begun", shift=shift.name, part=state.part)
    return state


def _part(host: "EntryHost", shift: Shift) -> int:
    """Returns the smallest part over all versions that may still be held."""
    tables = host.shares.limiting_shares()
    parts = [
        parts_of(shift.cap, list(t)).get(host.identity.name, 0) for t in tables
    ]
    return min(parts, default=0)


def _update(
    host: "EntryHost", now: float, shift: Shift, state: ShiftState
) -> None:
    state.forget_before(now - window_s(shift))
    state.set_part(now, _part(host, shift), window_s(shift))
    step_s = min(now - state.advanced_at, MAX_STEP_S)
    state.advanced_at = now
    if now < host.shifts.adopts_until and not shift.aborted:
        state.position = _adopted(host, now, shift)
        return
    step = shift.share * step_s / shift.pace_s
    if shift.aborted:
        state.position = max(0.0, state.position - step)
        return
    hold = _hold(host, now, shift, state)
    if hold is not state.hold:
        state.hold = hold
        host.report(
            now,
            "shift-hold" if hold is not Hold.NONE else "shift-resumed",
            shift=shift.name,
            reason=str(hold),
            position=round(state.position, 3),
        )
    if hold is Hold.NONE:
        state.position = min(shift.share, state.position + step)


def _adopted(host: "EntryHost", now: float, shift: Shift) -> float:
    """Returns the lowest position that neighbours of the source report."""
    reported = [
        dict(s.positions)[shift.name] / PER_MILLE
        for s in _hosts_of(host, now, shift.source)
        if shift.name in dict(s.positions)
    ]
    return min(reported, default=0.0)


def _hold(
    host: "EntryHost", now: float, shift: Shift, state: ShiftState
) -> Hold:
    if host.allowance.is_quarantined(now):
        return Hold.SEAT
    hosts = _hosts_of(host, now, shift.destination)
    if not hosts:
        return Hold.BLIND
    strains = [dict(s.strains).get(shift.service) for s in hosts]
    if Strain.SHEDDING in strains:
        return Hold.SHEDDING
    is_warming = state.position < WARMING_SHARE * shift.share
    if Strain.COLD in strains and not is_warming:
        return Hold.COLD
    return Hold.NONE


def _hosts_of(host: "EntryHost", now: float, region: str) -> list[HostState]:
    intent = host.configuration.intent
    return [
        s
        for s in host.membership.ready(now)
        if s.name != host.identity.name and intent.region_of(s.domain) == region
    ]
