"""Specification of shares that move between two seats by a change.

The loser's share falls, the gainer's rises, and the cap stays. The amounts
are free, so what is proved holds for any shares. The gainer hears the loser's
version by gossip, which may be lost, late or repeated.
"""

from typing import NamedTuple

import z3
from checker import State, Step, System, main
from sardinewheel_core.allowance import (
    LOAN_DURATION_S,
    MAX_REQUEST_DURATION_S,
    QUARANTINE_S,
)

DRIFT = 0.01

LONGEST_USE_S = (LOAN_DURATION_S + MAX_REQUEST_DURATION_S) * (1 + DRIFT)
SHORTEST_QUARANTINE_S = QUARANTINE_S * (1 - DRIFT)

REAL = z3.RealSort()
BOOL = z3.BoolSort()

VARIABLES = {
    "cap": REAL,
    # Shares before and after the change.
    "loser_before": REAL,
    "loser_after": REAL,
    "gainer_before": REAL,
    "gainer_after": REAL,
    # ``loser_in_flight`` includes what runs on loans that the loser gave.
    "loser_is_new": BOOL,
    "loser_lowered_at": REAL,
    "loser_in_flight": REAL,
    "gainer_is_new": BOOL,
    "gainer_in_flight": REAL,
    "gainer_heard": BOOL,
    "gainer_heard_at": REAL,
    "now": REAL,
}
INPUTS = {"amount": REAL}


class Rules(NamedTuple):
    """The rules of the protocol; each broken variant changes one.

    Attributes:
        waits_for_news: Whether the gainer waits until the loser is known to
            have lowered itself.
        wait_s: Least real time from that news to the use of the new share.
        restarts_forward: Whether a replaced loser starts at a version that is
            not older than its predecessor's.
    """

    waits_for_news: bool = True
    wait_s: float = SHORTEST_QUARANTINE_S
    restarts_forward: bool = True


def share_system(name: str, rules: Rules) -> System:
    """Returns the transition system of a share change under some rules."""
    return System(
        name=name,
        variables=VARIABLES,
        inputs=INPUTS,
        start=_start,
        steps=lambda s, i: (
            _loser_steps(s, i, rules) + _gainer_steps(s, i, rules) + _time(s, i)
        ),
        holds=lambda s: s.loser_in_flight + s.gainer_in_flight <= s.cap,
        invariant=_invariant,
    )


def _shares(s: State) -> z3.BoolRef:
    return z3.And(
        s.loser_after >= 0,
        s.gainer_before >= 0,
        s.loser_after <= s.loser_before,
        s.gainer_before <= s.gainer_after,
        s.loser_before + s.gainer_before <= s.cap,
        s.loser_after + s.gainer_after <= s.cap,
    )


def _start(s: State) -> z3.BoolRef:
    zeros = [s.loser_lowered_at, s.loser_in_flight, s.gainer_in_flight]
    zeros += [s.gainer_heard_at, s.now]
    return z3.And(
        _shares(s),
        *[zero == 0 for zero in zeros],
        z3.Not(s.loser_is_new),
        z3.Not(s.gainer_is_new),
        z3.Not(s.gainer_heard),
    )


def _invariant(s: State) -> z3.BoolRef:
    has_ended = s.now > s.loser_lowered_at + LONGEST_USE_S
    may_raise = z3.And(
        s.gainer_heard, s.now >= s.gainer_heard_at + SHORTEST_QUARANTINE_S
    )
    return z3.And(
        _shares(s),
        s.loser_lowered_at <= s.now,
        s.loser_in_flight >= 0,
        s.loser_in_flight <= s.loser_before,
        z3.Implies(
            z3.And(s.loser_is_new, has_ended),
            s.loser_in_flight <= s.loser_after,
        ),
        z3.Implies(
            s.gainer_heard,
            z3.And(s.loser_is_new, s.gainer_heard_at >= s.loser_lowered_at),
        ),
        s.gainer_in_flight >= 0,
        s.gainer_in_flight <= s.gainer_after,
        z3.Implies(z3.Not(may_raise), s.gainer_in_flight <= s.gainer_before),
    )


def _loser_steps(s: State, i: State, rules: Rules) -> list[Step]:
    limit = z3.If(s.loser_is_new, s.loser_after, s.loser_before)
    after = s.loser_in_flight + i.amount
    steps = [
        Step(
            "loser: dispatches",
            z3.And(i.amount > 0, after <= limit),
            {"loser_in_flight": after},
        ),
        Step(
            "loser: requests end",
            z3.And(i.amount >= 0, i.amount < s.loser_in_flight),
            {"loser_in_flight": i.amount},
        ),
        Step(
            "loser: takes the change",
            z3.Not(s.loser_is_new),
            {"loser_is_new": True, "loser_lowered_at": s.now},
        ),
    ]
    if not rules.restarts_forward:
        steps.append(
            Step(
                "loser: is replaced by a host without the change",
                z3.BoolVal(True),
                {"loser_is_new": False},
            )
        )
    return steps


def _gainer_steps(s: State, i: State, rules: Rules) -> list[Step]:
    may_raise = s.gainer_is_new
    if rules.waits_for_news:
        waited = s.now >= s.gainer_heard_at + rules.wait_s
        may_raise = z3.And(may_raise, s.gainer_heard, waited)
    limit = z3.If(may_raise, s.gainer_after, s.gainer_before)
    after = s.gainer_in_flight + i.amount
    return [
        Step(
            "gainer: dispatches",
            z3.And(i.amount > 0, after <= limit),
            {"gainer_in_flight": after},
        ),
        Step(
            "gainer: requests end",
            z3.And(i.amount >= 0, i.amount < s.gainer_in_flight),
            {"gainer_in_flight": i.amount},
        ),
        Step(
            "gainer: takes the change",
            z3.BoolVal(True),
            {"gainer_is_new": True},
        ),
        Step(
            "gainer: hears that the loser took it",
            z3.And(s.loser_is_new, z3.Not(s.gainer_heard)),
            {"gainer_heard": True, "gainer_heard_at": s.now},
        ),
    ]


def _time(s: State, i: State) -> list[Step]:
    later = s.now + i.amount
    is_over = z3.And(s.loser_is_new, s.loser_in_flight > s.loser_after)
    ended_by = s.loser_lowered_at + LONGEST_USE_S
    guard = z3.And(i.amount > 0, z3.Implies(is_over, later <= ended_by))
    return [Step("time passes", guard, {"now": later})]


SOUND = [share_system("a change lowers before it raises", Rules())]
BROKEN = [
    share_system("broken: raises at once", Rules(waits_for_news=False)),
    share_system("broken: raises on the news alone", Rules(wait_s=0.0)),
    share_system(
        "broken: a replaced host goes back", Rules(restarts_forward=False)
    ),
]

if __name__ == "__main__":
    main(SOUND, BROKEN)
