"""Specification of a seat that a newer incarnation takes over.

The old holder may run, be paused or have crashed; the new one may start with
or without the platform. The failure model permits partitions only between
failure domains. Therefore a running holder is assumed to detect a newer one
in its seat within ``SUPERSEDE_DETECTION_S`` of the newer one's start, or of
its own resumption after a pause longer than ``PAUSE_THRESHOLD_S``.
"""

from typing import NamedTuple

import z3
from checker import State, Step, System, main
from sardinewheel_core.allowance import (
    MAX_REQUEST_DURATION_S,
    PAUSE_THRESHOLD_S,
    QUARANTINE_S,
    SUPERSEDE_DETECTION_S,
)

DRIFT = 0.01
SHARE = 4

LONGEST_RUN_S = MAX_REQUEST_DURATION_S * (1 + DRIFT)
SHORTEST_QUARANTINE_S = QUARANTINE_S * (1 - DRIFT)
SHORTEST_RESUME_S = SUPERSEDE_DETECTION_S
LONGEST_PAUSE_S = PAUSE_THRESHOLD_S * (1 + DRIFT)

REAL = z3.RealSort()
BOOL = z3.BoolSort()

VARIABLES = {
    # Old holder.
    "old_is_paused": BOOL,
    "old_ticked_at": REAL,
    "old_resumed_at": REAL,
    "old_usable_from": REAL,
    "old_is_superseded": BOOL,
    "old_is_released": BOOL,
    "old_in_flight": REAL,
    "old_in_flight_until": REAL,
    # A read of the row that found the old holder, not yet answered.
    "old_read": BOOL,
    # New holder.
    "new_is_started": BOOL,
    "new_started_at": REAL,
    "new_usable_from": REAL,
    "new_in_flight": REAL,
    # The row in the platform's table.
    "row_is_old": BOOL,
    "row_is_released": BOOL,
    "now": REAL,
}
INPUTS = {"amount": REAL, "flag": BOOL}


class Rules(NamedTuple):
    """The rules of the protocol; each broken variant changes one.

    Attributes:
        quarantine_s: Minimum real time that a new holder waits.
        detects_pause: Whether a holder checks for a pause before a dispatch.
        resume_s: Minimum real time from the end of a pause to the use of the
            share.
        releases_only_idle: Whether a seat is released only with nothing in
            flight.
        holder_claimed: Whether the old holder had claimed the row.
    """

    quarantine_s: float = SHORTEST_QUARANTINE_S
    detects_pause: bool = True
    resume_s: float = SHORTEST_RESUME_S
    releases_only_idle: bool = True
    holder_claimed: bool = True


def seat_system(name: str, rules: Rules) -> System:
    """Returns the transition system of a seat under some rules."""
    return System(
        name=name,
        variables=VARIABLES,
        inputs=INPUTS,
        start=lambda s: _start(s, rules),
        steps=lambda s, i: (
            _old_steps(s, i, rules)
            + _new_steps(s, i, rules)
            + _time_steps(s, i)
        ),
        holds=lambda s: s.old_in_flight + s.new_in_flight <= SHARE,
        invariant=_invariant,
    )


def _start(s: State, rules: Rules) -> z3.BoolRef:
    flags = [s.old_is_paused, s.old_is_superseded, s.old_is_released]
    flags += [s.old_read, s.new_is_started]
    zeros = [getattr(s, n) for n, sort in VARIABLES.items() if sort == REAL]
    return z3.And(
        *[z3.Not(flag) for flag in flags],
        *[zero == 0 for zero in zeros],
        s.row_is_old == rules.holder_claimed,
        s.row_is_released != rules.holder_claimed,
    )


def _invariant(s: State) -> z3.BoolRef:
    in_time = s.new_started_at + SUPERSEDE_DETECTION_S
    return z3.And(
        s.old_resumed_at >= 0,
        s.new_started_at >= 0,
        s.old_in_flight >= 0,
        s.new_in_flight >= 0,
        s.old_in_flight <= SHARE,
        s.new_in_flight <= SHARE,
        s.old_ticked_at <= s.now,
        s.old_resumed_at <= s.now,
        s.new_started_at <= s.now,
        z3.Implies(z3.Not(s.new_is_started), s.new_in_flight == 0),
        z3.Implies(s.new_in_flight > 0, s.now >= s.new_usable_from),
        z3.Implies(s.old_in_flight > 0, s.now <= s.old_in_flight_until),
        s.old_in_flight_until <= s.now + LONGEST_RUN_S,
        s.row_is_released == s.old_is_released,
        z3.Implies(s.old_is_released, s.old_in_flight == 0),
        _assumes_timely_gossip(s, s.now),
        # After a pause a holder uses nothing until it would have detected a
        # newer one.
        z3.Or(
            s.old_resumed_at == 0,
            s.old_usable_from >= s.old_resumed_at + SUPERSEDE_DETECTION_S,
        ),
        # What the old holder dispatched has ended before the new one starts.
        z3.Implies(
            z3.And(s.new_is_started, z3.Not(s.old_is_released)),
            z3.And(
                s.new_usable_from >= s.new_started_at + SHORTEST_QUARANTINE_S,
                z3.Or(
                    s.old_in_flight == 0,
                    s.old_in_flight_until <= in_time + LONGEST_RUN_S,
                ),
            ),
        ),
    )


def _assumes_timely_gossip(s: State, now: z3.ArithRef) -> z3.BoolRef:
    """States the assumption on gossip between hosts of a failure domain."""
    detected_by = (
        _latest(s.new_started_at, s.old_resumed_at) + SUPERSEDE_DETECTION_S
    )
    is_long_pause = z3.And(
        s.old_is_paused, now - s.old_ticked_at > LONGEST_PAUSE_S
    )
    return z3.Or(
        z3.Not(s.new_is_started),
        s.old_is_superseded,
        s.old_is_released,
        is_long_pause,
        now < detected_by,
    )


def _latest(left: z3.ArithRef, right: z3.ArithRef) -> z3.ArithRef:
    return z3.If(left >= right, left, right)


def _old_steps(s: State, i: State, rules: Rules) -> list[Step]:
    is_running = z3.Not(s.old_is_paused)
    is_awake = s.now - s.old_ticked_at <= LONGEST_PAUSE_S
    may_send = z3.And(
        is_running,
        z3.Not(s.old_is_superseded),
        z3.Not(s.old_is_released),
        s.now >= s.old_usable_from,
    )
    if rules.detects_pause:
        may_send = z3.And(may_send, is_awake)
    detected = {
        "old_ticked_at": s.now,
        "old_usable_from": s.now + rules.quarantine_s,
        "old_read": False,
    }
    is_idle = (
        s.old_in_flight == 0 if rules.releases_only_idle else z3.BoolVal(True)
    )
    resumed_at = _latest(s.now, s.old_resumed_at + rules.resume_s)
    steps = [
        Step(
            "old: dispatches",
            z3.And(may_send, i.amount > 0, s.old_in_flight + i.amount <= SHARE),
            {
                "old_in_flight": s.old_in_flight + i.amount,
                "old_in_flight_until": s.now + LONGEST_RUN_S,
            },
        ),
        Step("old: requests end", z3.BoolVal(True), {"old_in_flight": 0}),
        Step(
            "old: ticks",
            z3.And(is_running, is_awake),
            {"old_ticked_at": s.now},
        ),
        Step("old: is paused", is_running, {"old_is_paused": True}),
        Step(
            "old: resumes after a short pause",
            z3.And(s.old_is_paused, is_awake),
            {"old_is_paused": False},
        ),
        Step(
            "old: reads the row",
            z3.And(is_running, s.row_is_old),
            {"old_read": True},
        ),
        Step(
            "old: learns that the row is its own",
            z3.And(is_running, s.old_read),
            {"old_read": False, "old_usable_from": resumed_at},
        ),
        Step(
            "old: learns of the new holder",
            z3.And(is_running, s.new_is_started),
            {"old_is_superseded": True},
        ),
        Step(
            "old: releases the seat",
            z3.And(is_running, s.row_is_old, is_idle, is_awake),
            {
                "old_is_released": True,
                "row_is_old": False,
                "row_is_released": True,
            },
        ),
    ]
    resume = {"old_is_paused": False, "old_resumed_at": s.now}
    if rules.detects_pause:
        resume |= detected
    resumes = Step(
        "old: resumes after a long pause",
        z3.And(s.old_is_paused, z3.Not(is_awake)),
        resume,
    )
    return [*steps, resumes]


def _new_steps(s: State, i: State, rules: Rules) -> list[Step]:
    start = {"new_is_started": True, "new_started_at": s.now}
    return [
        Step(
            "new: starts and claims the row",
            z3.Not(s.new_is_started),
            {
                **start,
                "new_usable_from": z3.If(
                    s.row_is_released, s.now, s.now + rules.quarantine_s
                ),
                "row_is_old": False,
            },
        ),
        Step(
            "new: starts without the platform",
            z3.Not(s.new_is_started),
            {**start, "new_usable_from": s.now + rules.quarantine_s},
        ),
        Step(
            "new: dispatches",
            z3.And(
                s.new_is_started,
                s.now >= s.new_usable_from,
                i.amount > 0,
                s.new_in_flight + i.amount <= SHARE,
            ),
            {"new_in_flight": s.new_in_flight + i.amount},
        ),
        Step("new: requests end", z3.BoolVal(True), {"new_in_flight": 0}),
    ]


def _time_steps(s: State, i: State) -> list[Step]:
    later = s.now + i.amount
    return [
        Step(
            "time passes",
            z3.And(
                i.amount > 0,
                _assumes_timely_gossip(s, later),
                z3.Implies(s.old_in_flight > 0, later <= s.old_in_flight_until),
            ),
            {"now": later},
        )
    ]


SOUND = [seat_system("a seat's share is used by one holder", Rules())]
BROKEN = [
    seat_system("broken: no quarantine", Rules(quarantine_s=0.0)),
    seat_system("broken: no pause detection", Rules(detects_pause=False)),
    seat_system(
        "broken: uses the share once the row is read", Rules(resume_s=0.0)
    ),
    seat_system(
        "broken: releases with requests in flight",
        Rules(releases_only_idle=False),
    ),
    seat_system(
        "broken: the last holder never claimed", Rules(holder_claimed=False)
    ),
]

if __name__ == "__main__":
    main(SOUND, BROKEN)
