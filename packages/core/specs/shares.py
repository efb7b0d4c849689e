"""Specification of a configuration change that moves share between two seats.

The donor's share decreases, the recipient's increases, and the cap stays the
same. The amounts are unconstrained, so the proof holds for any shares. The
recipient learns the donor's version by gossip, which may be lost, late or
repeated.
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
    "donor_before": REAL,
    "donor_after": REAL,
    "recipient_before": REAL,
    "recipient_after": REAL,
    # ``donor_in_flight`` includes requests that run on the donor's loans.
    "donor_has_change": BOOL,
    "donor_lowered_at": REAL,
    "donor_in_flight": REAL,
    "recipient_has_change": BOOL,
    "recipient_in_flight": REAL,
    "recipient_learned": BOOL,
    "recipient_learned_at": REAL,
    "now": REAL,
}
INPUTS = {"amount": REAL}


class Rules(NamedTuple):
    """The rules of the protocol; each broken variant changes one.

    Attributes:
        waits_for_donor: Whether the recipient waits until it has learned that
            the donor applied its lower share.
        wait_s: Minimum real time from then to the use of the new share.
        restarts_at_same_or_newer_version: Whether a replaced donor starts at
            a version that is not older than its predecessor's.
    """

    waits_for_donor: bool = True
    wait_s: float = SHORTEST_QUARANTINE_S
    restarts_at_same_or_newer_version: bool = True


def share_system(name: str, rules: Rules) -> System:
    """Returns the transition system of a share change under some rules."""
    return System(
        name=name,
        variables=VARIABLES,
        inputs=INPUTS,
        start=_start,
        steps=lambda s, i: (
            _donor_steps(s, i, rules)
            + _recipient_steps(s, i, rules)
            + _time_steps(s, i)
        ),
        holds=lambda s: s.donor_in_flight + s.recipient_in_flight <= s.cap,
        invariant=_invariant,
    )


def _valid_shares(s: State) -> z3.BoolRef:
    return z3.And(
        s.donor_after >= 0,
        s.recipient_before >= 0,
        s.donor_after <= s.donor_before,
        s.recipient_before <= s.recipient_after,
        s.donor_before + s.recipient_before <= s.cap,
        s.donor_after + s.recipient_after <= s.cap,
    )


def _start(s: State) -> z3.BoolRef:
    zeros = [s.donor_lowered_at, s.donor_in_flight, s.recipient_in_flight]
    zeros += [s.recipient_learned_at, s.now]
    return z3.And(
        _valid_shares(s),
        *[zero == 0 for zero in zeros],
        z3.Not(s.donor_has_change),
        z3.Not(s.recipient_has_change),
        z3.Not(s.recipient_learned),
    )


def _invariant(s: State) -> z3.BoolRef:
    has_ended = s.now > s.donor_lowered_at + LONGEST_USE_S
    may_raise = z3.And(
        s.recipient_learned,
        s.now >= s.recipient_learned_at + SHORTEST_QUARANTINE_S,
    )
    return z3.And(
        _valid_shares(s),
        s.donor_lowered_at <= s.now,
        s.donor_in_flight >= 0,
        s.donor_in_flight <= s.donor_before,
        z3.Implies(
            z3.And(s.donor_has_change, has_ended),
            s.donor_in_flight <= s.donor_after,
        ),
        z3.Implies(
            s.recipient_learned,
            z3.And(
                s.donor_has_change, s.recipient_learned_at >= s.donor_lowered_at
            ),
        ),
        s.recipient_in_flight >= 0,
        s.recipient_in_flight <= s.recipient_after,
        z3.Implies(
            z3.Not(may_raise), s.recipient_in_flight <= s.recipient_before
        ),
    )


def _donor_steps(s: State, i: State, rules: Rules) -> list[Step]:
    limit = z3.If(s.donor_has_change, s.donor_after, s.donor_before)
    after = s.donor_in_flight + i.amount
    steps = [
        Step(
            "donor: dispatches",
            z3.And(i.amount > 0, after <= limit),
            {"donor_in_flight": after},
        ),
        Step(
            "donor: requests end",
            z3.And(i.amount >= 0, i.amount < s.donor_in_flight),
            {"donor_in_flight": i.amount},
        ),
        Step(
            "donor: applies the change",
            z3.Not(s.donor_has_change),
            {"donor_has_change": True, "donor_lowered_at": s.now},
        ),
    ]
    if not rules.restarts_at_same_or_newer_version:
        steps.append(
            Step(
                "donor: is replaced by a host without the change",
                z3.BoolVal(True),
                {"donor_has_change": False},
            )
        )
    return steps


def _recipient_steps(s: State, i: State, rules: Rules) -> list[Step]:
    may_raise = s.recipient_has_change
    if rules.waits_for_donor:
        waited = s.now >= s.recipient_learned_at + rules.wait_s
        may_raise = z3.And(may_raise, s.recipient_learned, waited)
    limit = z3.If(may_raise, s.recipient_after, s.recipient_before)
    after = s.recipient_in_flight + i.amount
    return [
        Step(
            "recipient: dispatches",
            z3.And(i.amount > 0, after <= limit),
            {"recipient_in_flight": after},
        ),
        Step(
            "recipient: requests end",
            z3.And(i.amount >= 0, i.amount < s.recipient_in_flight),
            {"recipient_in_flight": i.amount},
        ),
        Step(
            "recipient: applies the change",
            z3.BoolVal(True),
            {"recipient_has_change": True},
        ),
        Step(
            "recipient: learns that the donor applied it",
            z3.And(s.donor_has_change, z3.Not(s.recipient_learned)),
            {"recipient_learned": True, "recipient_learned_at": s.now},
        ),
    ]


def _time_steps(s: State, i: State) -> list[Step]:
    later = s.now + i.amount
    is_over = z3.And(s.donor_has_change, s.donor_in_flight > s.donor_after)
    ended_by = s.donor_lowered_at + LONGEST_USE_S
    guard = z3.And(i.amount > 0, z3.Implies(is_over, later <= ended_by))
    return [Step("time passes", guard, {"now": later})]


SOUND = [
    share_system(
        "a change lowers the donor before it raises the recipient", Rules()
    )
]
BROKEN = [
    share_system(
        "broken: recipient raises its share at once",
        Rules(waits_for_donor=False),
    ),
    share_system(
        "broken: recipient does not wait for requests to end", Rules(wait_s=0.0)
    ),
    share_system(
        "broken: a replaced donor returns to an older version",
        Rules(restarts_at_same_or_newer_version=False),
    ),
]

if __name__ == "__main__":
    main(SOUND, BROKEN)
