"""Specification of at most once: one request id, its owner and a successor.

Any number of requests with the id may be in transit and arrive at any time,
at any host, in any order. A request that was sent to the target may be
executed at any later time. Each host may crash at any moment and then loses
all its state.

===================  ==========================================================
state                code
===================  ==========================================================
``x_has_record``     the id has a record in ``OutcomeStore.records``
``x_may_send``       its exchange is in ``EntryHost.owned``, without an attempt
``x_sent``           a ``Dispatch`` passed ``EntryHost.may_dispatch``
``o_is_closed``      ``OutcomeStore.is_closed``
``parts_sent``       ``OutcomesHandedOn`` may arrive, any number of times
``s_received``       the owner is in ``HandoverState.received_outcomes``
``answered_not_run`` a ``Reply`` with ``Outcome.NOT_RUN``
===================  ==========================================================
"""

from typing import NamedTuple

import z3
from checker import State, Step, System, main

BOOL = z3.BoolSort()
REAL = z3.RealSort()

VARIABLES = {
    "is_requested": BOOL,
    # Owner.
    "o_is_up": BOOL,
    "o_has_record": BOOL,
    "o_may_send": BOOL,
    "o_sent": BOOL,
    "o_is_closed": BOOL,
    # Records in transit to the successor.
    "parts_sent": BOOL,
    "parts_have_record": BOOL,
    # Successor, the incarnation that the records are addressed to.
    "s_is_up": BOOL,
    "s_received": BOOL,
    "s_has_record": BOOL,
    "s_may_send": BOOL,
    "s_sent": BOOL,
    # What targets and callers observe.
    "executions": REAL,
    "answered_not_run": BOOL,
}


class Rules(NamedTuple):
    """The rules of the protocol; each broken variant changes one.

    Attributes:
        keeps_tombstone: Whether an id that was answered with "not run" is
            never executed later.
        only_owner_refuses: Whether only the owner answers with "not run".
        sends_once: Whether nothing is sent again after a lost answer.
        closes_first: Whether the owner accepts no new id once it has handed
            its records over.
        binds_incarnation: Whether a process that replaces the successor
            ignores the records.
        ownership_ends_on_restart: Whether a restarted owner does not own the
            ids of its previous incarnation.
    """

    keeps_tombstone: bool = True
    only_owner_refuses: bool = True
    sends_once: bool = True
    closes_first: bool = True
    binds_incarnation: bool = True
    ownership_ends_on_restart: bool = True


def ticket_system(name: str, rules: Rules) -> System:
    """Returns the transition system of an id with a ticket."""
    return System(
        name=name,
        variables=VARIABLES,
        inputs={},
        start=_start,
        steps=lambda s, i: (
            _owner_steps(s, rules)
            + _handover_steps(s, rules)
            + _successor_steps(s, rules)
            + _other_steps(s, rules)
        ),
        holds=_holds,
        invariant=_invariant,
    )


def _start(s: State) -> z3.BoolRef:
    flags = [n for n, sort in VARIABLES.items() if sort == BOOL]
    up = ("o_is_up", "s_is_up")
    return z3.And(
        s.o_is_up,
        s.s_is_up,
        *[z3.Not(getattr(s, n)) for n in flags if n not in up],
        s.executions == 0,
    )


def _holds(s: State) -> z3.BoolRef:
    return z3.And(
        s.executions <= 1, z3.Implies(s.answered_not_run, s.executions == 0)
    )


def _possible_executions(s: State) -> z3.ArithRef:
    """Counts executions and requests that may still be executed."""
    flags = (s.o_may_send, s.o_sent, s.s_may_send, s.s_sent)
    return s.executions + z3.Sum([z3.If(f, 1.0, 0.0) for f in flags])


def _invariant(s: State) -> z3.BoolRef:
    is_used = z3.Or(_possible_executions(s) > 0, s.answered_not_run)
    return z3.And(
        s.executions >= 0,
        _possible_executions(s) <= 1,
        z3.Implies(s.answered_not_run, _possible_executions(s) == 0),
        s.parts_sent == s.o_is_closed,
        z3.Implies(s.parts_sent, s.parts_have_record == s.o_has_record),
        z3.Implies(s.s_received, s.parts_sent),
        z3.Implies(z3.And(s.s_received, s.parts_have_record), s.s_has_record),
        z3.Implies(s.s_has_record, s.s_received),
        z3.Implies(is_used, z3.Or(s.o_has_record, s.s_has_record)),
        z3.Implies(z3.Or(s.o_may_send, s.o_sent), s.o_has_record),
        z3.Implies(z3.Or(s.s_may_send, s.s_sent), s.s_has_record),
    )


def _owner_steps(s: State, rules: Rules) -> list[Step]:
    is_new = z3.And(s.is_requested, s.o_is_up, z3.Not(s.o_has_record))
    may_accept = z3.And(is_new, z3.Not(s.o_is_closed))
    after_crash = {"o_is_up": False, "o_may_send": False}
    refused = {"answered_not_run": True, "o_has_record": rules.keeps_tombstone}
    steps = [
        Step(
            "owner: accepts the id",
            may_accept,
            {"o_has_record": True, "o_may_send": True},
        ),
        Step("owner: refuses the id on arrival", may_accept, refused),
        Step(
            "owner: refuses the id before it is sent",
            z3.And(s.o_is_up, s.o_may_send),
            {**refused, "o_may_send": False},
        ),
        Step(
            "owner: sends the request",
            z3.And(s.o_is_up, s.o_may_send),
            {"o_may_send": False, "o_sent": True},
        ),
        *_target_steps(s, "o"),
        Step("owner: crashes", s.o_is_up, after_crash),
    ]
    if not rules.sends_once:
        retry = z3.And(s.o_is_up, s.o_sent)
        steps.append(
            Step("owner: retries a lost request", retry, {"o_may_send": True})
        )
    if not rules.ownership_ends_on_restart:
        steps.append(
            Step(
                "owner: restarts and owns old ids",
                z3.Not(s.o_is_up),
                {"o_is_up": True, "o_has_record": False},
            )
        )
    return steps


def _target_steps(s: State, host: str) -> list[Step]:
    sent, is_up = getattr(s, f"{host}_sent"), getattr(s, f"{host}_is_up")
    return [
        Step(
            f"target: executes what {host} sent",
            sent,
            {f"{host}_sent": False, "executions": s.executions + 1},
        ),
        Step(
            f"target: refuses what {host} sent",
            z3.And(sent, is_up),
            {f"{host}_sent": False, f"{host}_may_send": True},
        ),
    ]


def _handover_steps(s: State, rules: Rules) -> list[Step]:
    steps = [
        Step(
            "owner: hands its records over",
            z3.And(s.o_is_up, z3.Not(s.parts_sent)),
            {
                "o_is_closed": rules.closes_first,
                "parts_sent": True,
                "parts_have_record": s.o_has_record,
            },
        ),
        Step(
            "successor: receives the records",
            z3.And(s.parts_sent, s.s_is_up, z3.Not(s.s_received)),
            {"s_received": True, "s_has_record": s.parts_have_record},
        ),
        Step(
            "successor: crashes",
            s.s_is_up,
            {"s_is_up": False, "s_may_send": False},
        ),
    ]
    if not rules.binds_incarnation:
        steps.append(
            Step(
                "successor: is replaced and receives the records again",
                z3.And(s.parts_sent, z3.Not(s.s_is_up)),
                {
                    "s_is_up": True,
                    "s_received": True,
                    "s_has_record": s.parts_have_record,
                },
            )
        )
    return steps


def _successor_steps(s: State, rules: Rules) -> list[Step]:
    is_up = z3.And(s.s_is_up, s.s_received)
    may_accept = z3.And(s.is_requested, is_up, z3.Not(s.s_has_record))
    refused = {"answered_not_run": True, "s_has_record": rules.keeps_tombstone}
    return [
        Step(
            "successor: accepts the id",
            may_accept,
            {"s_has_record": True, "s_may_send": True},
        ),
        Step("successor: refuses the id on arrival", may_accept, refused),
        Step(
            "successor: refuses the id before it is sent",
            z3.And(is_up, s.s_may_send),
            {**refused, "s_may_send": False},
        ),
        Step(
            "successor: sends the request",
            z3.And(is_up, s.s_may_send),
            {"s_may_send": False, "s_sent": True},
        ),
        *_target_steps(s, "s"),
    ]


def _other_steps(s: State, rules: Rules) -> list[Step]:
    steps = [
        Step("caller: sends the id", z3.BoolVal(True), {"is_requested": True})
    ]
    if not rules.only_owner_refuses:
        steps.append(
            Step(
                "another host: refuses the id",
                s.is_requested,
                {"answered_not_run": True},
            )
        )
    return steps


SOUND = [
    ticket_system(
        "a request id with a ticket is executed at most once", Rules()
    )
]
BROKEN = [
    ticket_system("broken: no tombstone", Rules(keeps_tombstone=False)),
    ticket_system("broken: any host refuses", Rules(only_owner_refuses=False)),
    ticket_system("broken: retries lost requests", Rules(sends_once=False)),
    ticket_system(
        "broken: accepts ids after hand-over", Rules(closes_first=False)
    ),
    ticket_system(
        "broken: any incarnation receives the records",
        Rules(binds_incarnation=False),
    ),
    ticket_system(
        "broken: a restarted owner owns old ids",
        Rules(ownership_ends_on_restart=False),
    ),
]

if __name__ == "__main__":
    main(SOUND, BROKEN)
