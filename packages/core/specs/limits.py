"""Specification of one domain's share of a target's limit.

One host, the holder, has a token bucket for the share. When it dies or is
paused, another host of the domain takes over; a paused one may resume and
believe that it still holds the share, until it hears from the new holder, at
most ``DETECTION_S`` later. In any window, the requests that the domain sends
stay within the rate, one burst, one more burst for the change of holder, and
the rate during the time in which both hold the share. A second pause while both
hold it, which would add a burst, is left out.

Time is scaled so that the rate is one request per second. Domains have separate
shares and exchange no messages about them, so a partition between domains
changes nothing here.
"""

from typing import NamedTuple

import z3
from checker import State, Step, System, main

DETECTION_S = 2

REAL = z3.RealSort()
BOOL = z3.BoolSort()

VARIABLES = {
    # Tokens that an idle bucket keeps at most.
    "burst": REAL,
    # The bucket of the first holder, and whether it still believes to hold it.
    "old_tokens": REAL,
    "old_holds": BOOL,
    "old_is_paused": BOOL,
    # The bucket of the host that takes over.
    "new_tokens": REAL,
    "new_holds": BOOL,
    # Time for which both have run as holders.
    "overlap_s": REAL,
    # Requests sent since the window began, and its duration.
    "sent": REAL,
    "window_s": REAL,
}
INPUTS = {"amount": REAL}


class Rules(NamedTuple):
    """The rules of the protocol; each broken variant changes one.

    Attributes:
        starts_empty: Whether the bucket of a new holder starts empty.
        keeps_burst: Whether a bucket keeps ``burst`` tokens at most.
        steps_down: Whether a resumed holder steps down when it hears from the
            new one.
    """

    starts_empty: bool = True
    keeps_burst: bool = True
    steps_down: bool = True


def limit_system(name: str, rules: Rules) -> System:
    """Returns the transition system of a share under some rules."""
    return System(
        name=name,
        variables=VARIABLES,
        inputs=INPUTS,
        start=_start,
        steps=lambda s, i: (
            _holder_steps(s, rules) + _request_steps(s, i) + _time(s, i, rules)
        ),
        holds=lambda s: s.sent <= s.window_s + 2 * s.burst + DETECTION_S,
        invariant=_invariant,
    )


def _start(s: State) -> z3.BoolRef:
    zeros = [s.new_tokens, s.overlap_s, s.sent, s.window_s]
    return z3.And(
        s.burst >= 1,
        s.old_tokens == s.burst,
        s.old_holds,
        z3.Not(s.old_is_paused),
        z3.Not(s.new_holds),
        *[zero == 0 for zero in zeros],
    )


def _invariant(s: State) -> z3.BoolRef:
    old = z3.If(s.old_holds, s.old_tokens, 0)
    new = z3.If(s.new_holds, s.new_tokens, 0)
    takeover = z3.If(s.new_holds, s.burst, 0)
    return z3.And(
        s.burst >= 1,
        s.old_tokens >= 0,
        s.old_tokens <= s.burst,
        s.new_tokens >= 0,
        s.new_tokens <= s.burst,
        s.overlap_s >= 0,
        s.overlap_s <= DETECTION_S,
        z3.Implies(z3.Not(s.new_holds), s.overlap_s == 0),
        # A paused holder's tokens count as the burst of the change.
        z3.If(
            z3.And(s.new_holds, s.old_holds, s.old_is_paused),
            s.sent + new <= s.window_s + s.burst + s.overlap_s,
            s.sent + old + new <= s.window_s + s.burst + takeover + s.overlap_s,
        ),
    )


def _holder_steps(s: State, rules: Rules) -> list[Step]:
    takes_over = {"new_holds": True, "new_tokens": 0}
    if not rules.starts_empty:
        takes_over["new_tokens"] = s.burst
    return [
        Step(
            "the holder is paused",
            z3.And(s.old_holds, z3.Not(s.new_holds)),
            {"old_is_paused": True},
        ),
        Step("the holder resumes", s.old_is_paused, {"old_is_paused": False}),
        Step("the holder dies", s.old_holds, {"old_holds": False}),
        Step(
            "another host takes over",
            z3.And(
                z3.Not(s.new_holds),
                z3.Or(s.old_is_paused, z3.Not(s.old_holds)),
            ),
            takes_over,
        ),
    ]


def _request_steps(s: State, i: State) -> list[Step]:
    old_sends = z3.And(s.old_holds, z3.Not(s.old_is_paused))
    return [
        Step(
            "the holder sends requests",
            z3.And(old_sends, i.amount > 0, i.amount <= s.old_tokens),
            {"old_tokens": s.old_tokens - i.amount, "sent": s.sent + i.amount},
        ),
        Step(
            "the new holder sends requests",
            z3.And(s.new_holds, i.amount > 0, i.amount <= s.new_tokens),
            {"new_tokens": s.new_tokens - i.amount, "sent": s.sent + i.amount},
        ),
        Step("a window begins", z3.BoolVal(True), {"sent": 0, "window_s": 0}),
    ]


def _time(s: State, i: State, rules: Rules) -> list[Step]:
    both_run = z3.And(s.old_holds, z3.Not(s.old_is_paused), s.new_holds)
    overlap_s = z3.If(both_run, s.overlap_s + i.amount, s.overlap_s)
    guard = i.amount > 0
    if rules.steps_down:
        guard = z3.And(guard, overlap_s <= DETECTION_S)
    return [
        Step(
            "time passes",
            guard,
            {
                "window_s": s.window_s + i.amount,
                "overlap_s": overlap_s,
                "old_tokens": _filled(s.old_tokens, s, i, rules),
                "new_tokens": z3.If(
                    s.new_holds,
                    _filled(s.new_tokens, s, i, rules),
                    s.new_tokens,
                ),
            },
        )
    ]


def _filled(
    tokens: z3.ArithRef, s: State, i: State, rules: Rules
) -> z3.ArithRef:
    """Returns the tokens of a bucket after some time."""
    filled = tokens + i.amount
    if not rules.keeps_burst:
        return filled
    return z3.If(filled < s.burst, filled, s.burst)


SOUND = [limit_system("a domain keeps its share of a limit", Rules())]
BROKEN = [
    limit_system(
        "broken: a new holder starts with a full bucket",
        Rules(starts_empty=False),
    ),
    limit_system(
        "broken: an idle bucket grows without bound", Rules(keeps_burst=False)
    ),
    limit_system(
        "broken: a resumed holder never steps down", Rules(steps_down=False)
    ),
]

if __name__ == "__main__":
    main(SOUND, BROKEN)
