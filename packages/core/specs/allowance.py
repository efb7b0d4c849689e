"""Specification of loans between two seats of one region.

The model follows one loan. A loanable unit belongs to either the lender or the
borrower, so what holds for one unit holds for any number of loans at once.
Time is real time; each host's clock may run fast or slow by ``DRIFT``.

A sent message stays in transit indefinitely: it may be lost (never delivered),
delayed, reordered and delivered many times.
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
LENDER_SHARE = 4
BORROWER_SHARE = 4
LOAN_UNITS = 2
CAP = LENDER_SHARE + BORROWER_SHARE

LONGEST_LOAN_S = LOAN_DURATION_S * (1 + DRIFT)
LONGEST_RUN_S = MAX_REQUEST_DURATION_S * (1 + DRIFT)
SHORTEST_QUARANTINE_S = QUARANTINE_S * (1 - DRIFT)

REAL = z3.RealSort()
BOOL = z3.BoolSort()

VARIABLES = {
    # Lender: the entry in ``Allowance.lent``, whether it is the borrower's
    # current loan, whether the borrower returned it, and when it ends.
    "lent": BOOL,
    "lent_is_current": BOOL,
    "lent_is_returned": BOOL,
    "lent_until": REAL,
    "lender_in_flight": REAL,
    "lender_quarantine_until": REAL,
    # Borrower: the latest request, and the entry in ``Allowance.borrowed``.
    "requested": BOOL,
    "requested_at": REAL,
    "borrowed": BOOL,
    "borrowed_until": REAL,
    "borrower_in_flight": REAL,
    "borrower_quarantine_until": REAL,
    # Latest end of a request dispatched beyond the share; by then the weight
    # in flight is within the share again.
    "excess_until": REAL,
    # Requests still running at the targets whose entry host crashed.
    "lender_orphans": REAL,
    "lender_orphans_until": REAL,
    "own_orphans": REAL,
    "own_orphans_until": REAL,
    "loan_orphans": REAL,
    "loan_orphans_until": REAL,
    # Messages about the latest request that were sent at least once.
    "wanted_sent": BOOL,
    "granted_sent": BOOL,
    "now": REAL,
}
INPUTS = {"amount": REAL, "flag": BOOL}


class Rules(NamedTuple):
    """The rules of the protocol; each broken variant changes one.

    Attributes:
        lender_waits_s: Minimum real time after which the lender uses lent
            units again.
        borrower_counts_from_receipt: Whether a loan's duration is measured
            from the arrival of the grant instead of from the request.
        quarantine_s: Minimum real time that a restarted host waits.
        lends_only_unused: Whether a lender lends only units not in use.
        incarnation_in_loan_id: Whether a restarted borrower's loan ids differ
            from its earlier ones.
    """

    lender_waits_s: float = SHORTEST_QUARANTINE_S
    borrower_counts_from_receipt: bool = False
    quarantine_s: float = SHORTEST_QUARANTINE_S
    lends_only_unused: bool = True
    incarnation_in_loan_id: bool = True


def loan_system(name: str, rules: Rules) -> System:
    """Returns the transition system of loans under some rules."""
    return System(
        name=name,
        variables=VARIABLES,
        inputs=INPUTS,
        start=_start,
        steps=lambda s, i: (
            _lender_steps(s, i, rules)
            + _borrower_steps(s, i, rules)
            + _environment_steps(s, i)
        ),
        holds=_within_cap,
        invariant=_invariant,
    )


def _start(s: State) -> z3.BoolRef:
    flags = [s.lent, s.lent_is_current, s.lent_is_returned, s.requested]
    flags += [s.borrowed, s.wanted_sent, s.granted_sent]
    zeros = [getattr(s, n) for n, sort in VARIABLES.items() if sort == REAL]
    return z3.And(
        *[z3.Not(flag) for flag in flags], *[zero == 0 for zero in zeros]
    )


def _within_cap(s: State) -> z3.BoolRef:
    in_flight = s.lender_in_flight + s.borrower_in_flight
    orphans = s.lender_orphans + s.own_orphans + s.loan_orphans
    return in_flight + orphans <= CAP


def _usable_share(s: State, now: z3.ArithRef) -> z3.ArithRef:
    """Returns the part of its share that the borrower may use."""
    return z3.If(now >= s.borrower_quarantine_until, BORROWER_SHARE, 0)


def _loan_uses(s: State) -> list[tuple[z3.BoolRef, z3.ArithRef]]:
    """Returns each way in which the loan may be in use, and until when."""
    requested_until = s.requested_at + LONGEST_LOAN_S + LONGEST_RUN_S
    has_excess = s.borrower_in_flight > _usable_share(s, s.now)
    return [
        (z3.And(s.requested, s.granted_sent), requested_until),
        (s.borrowed, s.borrowed_until + LONGEST_RUN_S),
        (has_excess, s.excess_until),
        (s.loan_orphans > 0, s.loan_orphans_until),
    ]


def _invariant(s: State) -> z3.BoolRef:
    own = _usable_share(s, s.now)
    is_quarantined = s.now < s.lender_quarantine_until
    conditions = [
        s.lender_in_flight >= 0,
        s.borrower_in_flight >= 0,
        s.lender_orphans >= 0,
        s.own_orphans >= 0,
        s.loan_orphans >= 0,
        s.requested_at <= s.now,
        s.lender_in_flight + z3.If(s.lent, LOAN_UNITS, 0) <= LENDER_SHARE,
        s.lender_orphans <= LENDER_SHARE,
        s.own_orphans <= BORROWER_SHARE,
        s.loan_orphans <= LOAN_UNITS,
        s.borrower_in_flight <= own + LOAN_UNITS,
        s.lender_quarantine_until <= s.now + SHORTEST_QUARANTINE_S,
        z3.Implies(s.lent, s.lent_until <= s.now + SHORTEST_QUARANTINE_S),
        z3.Implies(
            z3.And(s.lent, s.lent_is_current, s.lent_is_returned),
            z3.Not(s.requested),
        ),
        # A restarted host does not use or lend its share in quarantine.
        z3.Implies(
            is_quarantined, z3.And(s.lender_in_flight == 0, z3.Not(s.lent))
        ),
        # Orphans of a share end before its quarantine does.
        z3.Implies(
            s.lender_orphans > 0,
            z3.And(
                s.now <= s.lender_orphans_until,
                s.lender_orphans_until < s.lender_quarantine_until,
            ),
        ),
        z3.Implies(
            s.own_orphans > 0,
            z3.And(
                s.now <= s.own_orphans_until,
                s.own_orphans_until < s.borrower_quarantine_until,
            ),
        ),
        # While orphans of a loan run, its units are not lent again.
        z3.Implies(
            s.loan_orphans > 0,
            z3.And(
                s.now <= s.loan_orphans_until,
                z3.Not(s.borrowed),
                z3.Not(z3.And(s.requested, s.granted_sent)),
                s.borrower_in_flight <= own,
                z3.Not(z3.And(s.lent, s.lent_is_current)),
            ),
        ),
        z3.Implies(s.borrower_in_flight > own, s.now <= s.excess_until),
    ]
    # While the loan may be in use, the lender does not use its units.
    for is_used, until in _loan_uses(s):
        is_lent = z3.And(
            s.lent, s.lent_until > until, z3.Not(s.lent_is_returned)
        )
        is_fenced = z3.And(
            is_quarantined,
            s.lender_quarantine_until > until,
            s.lender_orphans <= LENDER_SHARE - LOAN_UNITS,
        )
        conditions.append(
            z3.Implies(
                z3.And(is_used, until >= s.now), z3.Or(is_lent, is_fenced)
            )
        )
    return z3.And(*conditions)


def _lender_steps(s: State, i: State, rules: Rules) -> list[Step]:
    limit = LENDER_SHARE - z3.If(s.lent, LOAN_UNITS, 0)
    is_past_quarantine = s.now >= s.lender_quarantine_until
    fits = s.lender_in_flight <= LENDER_SHARE - LOAN_UNITS
    may_lend = z3.And(is_past_quarantine, z3.Not(s.lent), fits)
    if not rules.lends_only_unused:
        may_lend = z3.And(is_past_quarantine, z3.Not(s.lent))
    until = s.now + rules.lender_waits_s
    grant = {"lent": True, "lent_until": until, "lent_is_current": True}
    grant |= {"lent_is_returned": False, "granted_sent": True}
    stale = {"lent": True, "lent_until": until, "lent_is_current": False}
    stale |= {"lent_is_returned": i.flag}
    return [
        Step(
            "lender: dispatches",
            z3.And(
                is_past_quarantine,
                i.amount > 0,
                s.lender_in_flight + i.amount <= limit,
            ),
            {"lender_in_flight": s.lender_in_flight + i.amount},
        ),
        Step(
            "lender: requests end",
            z3.And(i.amount >= 0, i.amount < s.lender_in_flight),
            {"lender_in_flight": i.amount},
        ),
        Step(
            "lender: LoanWanted arrives, grants",
            z3.And(s.wanted_sent, may_lend),
            grant,
        ),
        Step(
            "lender: LoanWanted arrives, renews",
            z3.And(
                s.wanted_sent, s.lent, s.lent_is_current, is_past_quarantine
            ),
            {"lent_until": until, "granted_sent": True},
        ),
        Step("lender: LoanWanted of an earlier loan arrives", may_lend, stale),
        Step(
            "lender: LoanReturned arrives",
            z3.And(s.lent, s.lent_is_returned),
            {"lent": False},
        ),
        Step(
            "lender: uses the units again",
            z3.And(s.lent, s.now >= s.lent_until),
            {"lent": False},
        ),
        Step(
            "lender: crashes and restarts",
            z3.BoolVal(True),
            {
                "lent": False,
                "lender_in_flight": 0.0,
                "lender_orphans": s.lender_orphans + s.lender_in_flight,
                "lender_orphans_until": s.now + LONGEST_RUN_S,
                "lender_quarantine_until": s.now + rules.quarantine_s,
            },
        ),
    ]


def _borrower_steps(s: State, i: State, rules: Rules) -> list[Step]:
    own = _usable_share(s, s.now)
    is_valid = z3.And(s.borrowed, s.now <= s.borrowed_until)
    limit = own + z3.If(is_valid, LOAN_UNITS, 0)
    after = s.borrower_in_flight + i.amount
    excess = z3.If(s.borrower_in_flight > own, s.borrower_in_flight - own, 0.0)
    counted_from = (
        s.now if rules.borrower_counts_from_receipt else s.requested_at
    )
    new_loan = {
        "requested": True,
        "requested_at": s.now,
        "wanted_sent": True,
        "granted_sent": False,
        "lent_is_current": False,
    }
    restart = {
        "requested": False,
        "borrowed": False,
        "borrower_in_flight": 0.0,
        "own_orphans": s.own_orphans + s.borrower_in_flight - excess,
        "own_orphans_until": s.now + LONGEST_RUN_S,
        "loan_orphans": s.loan_orphans + excess,
        "loan_orphans_until": z3.If(
            excess > 0, s.excess_until, s.loan_orphans_until
        ),
        "borrower_quarantine_until": s.now + rules.quarantine_s,
    }
    if rules.incarnation_in_loan_id:
        restart |= {"wanted_sent": False, "granted_sent": False}
        restart |= {"lent_is_current": False}
    else:
        new_loan = {
            "requested": True,
            "requested_at": s.now,
            "wanted_sent": True,
        }
    return [
        Step(
            "borrower: dispatches",
            z3.And(i.amount > 0, after <= limit),
            {
                "borrower_in_flight": after,
                "excess_until": z3.If(
                    after > own, s.now + LONGEST_RUN_S, s.excess_until
                ),
            },
        ),
        Step(
            "borrower: requests end",
            z3.And(i.amount >= 0, i.amount < s.borrower_in_flight),
            {"borrower_in_flight": i.amount},
        ),
        Step("borrower: requests a loan", z3.Not(s.borrowed), new_loan),
        Step(
            "borrower: requests a renewal",
            is_valid,
            {
                "requested": True,
                "requested_at": s.now,
                "wanted_sent": True,
                "granted_sent": False,
            },
        ),
        Step(
            "borrower: LoanGranted arrives",
            z3.And(s.granted_sent, s.requested),
            {
                "requested": False,
                "borrowed": True,
                "borrowed_until": counted_from + LONGEST_LOAN_S,
            },
        ),
        Step(
            "borrower: returns the loan",
            z3.And(s.borrowed, s.borrower_in_flight <= own),
            {
                "borrowed": False,
                "requested": False,
                "lent_is_returned": z3.Or(
                    s.lent_is_returned, s.lent_is_current
                ),
            },
        ),
        Step(
            "borrower: loan expires",
            z3.And(s.borrowed, s.now > s.borrowed_until),
            {"borrowed": False, "requested": False},
        ),
        Step("borrower: crashes and restarts", z3.BoolVal(True), restart),
    ]


def _environment_steps(s: State, i: State) -> list[Step]:
    later = s.now + i.amount
    return [
        Step(
            "time passes",
            z3.And(
                i.amount > 0,
                z3.Or(s.lender_orphans == 0, later <= s.lender_orphans_until),
                z3.Or(s.own_orphans == 0, later <= s.own_orphans_until),
                z3.Or(s.loan_orphans == 0, later <= s.loan_orphans_until),
                z3.Or(
                    s.borrower_in_flight <= _usable_share(s, later),
                    later <= s.excess_until,
                ),
            ),
            {"now": later},
        ),
        Step("lender's orphans end", z3.BoolVal(True), {"lender_orphans": 0}),
        Step(
            "borrower's orphans end",
            z3.BoolVal(True),
            {"own_orphans": 0, "loan_orphans": 0},
        ),
    ]


SOUND = [loan_system("loans stay within the cap", Rules())]
BROKEN = [
    loan_system(
        "broken: lender does not wait for requests on the loan",
        Rules(lender_waits_s=LOAN_DURATION_S * (1 + DRIFT)),
    ),
    loan_system(
        "broken: borrower measures the loan from receipt",
        Rules(borrower_counts_from_receipt=True),
    ),
    loan_system("broken: no quarantine", Rules(quarantine_s=0.0)),
    loan_system("broken: lends what is in use", Rules(lends_only_unused=False)),
    loan_system(
        "broken: loan ids repeat after a restart",
        Rules(incarnation_in_loan_id=False),
    ),
]

if __name__ == "__main__":
    main(SOUND, BROKEN)
