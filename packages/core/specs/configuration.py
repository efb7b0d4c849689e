"""Specification of the configuration chain: one change id, two hosts.

An operator proposes a change, may get no answer, and proposes it again through
any host; changes of other operators are accepted meanwhile. A transaction that
was sent may reach the table at any later time, any number of times. Changes
and snapshots may reach a host late, out of order, several times or never.
Either host may be replaced by a fresh one at any moment. The operator does not
propose the change again after the answer that it is not accepted.

=====================  ========================================================
state                  code
=====================  ========================================================
``head``               row version of ``HEAD_KEY``
``x_rows``             number of rows ``change_key(v)`` that hold the change
``x_version``          version that the change created; ``ChangeIdRow.version``
``x_max_base``         highest version that it was proposed on, as checked by
                       ``Transact.checks``
``reported_accepted``  ``ProposalState.ACCEPTED`` was answered
``reported_rejected``  ``ProposalState.CONFLICT`` or ``REJECTED`` was answered
``a``, ``b``           ``Configuration.version`` of the hosts
``a_has_x``            whether ``Configuration.intent`` has the change
``was_rewritten``      a version of the table was written twice
``has_decreased``      a host's version decreased
=====================  ========================================================
"""

from typing import NamedTuple

import z3
from checker import State, Step, System, main

BOOL = z3.BoolSort()
INT = z3.IntSort()

VARIABLES = {
    "head": INT,
    "x_rows": INT,
    "x_version": INT,
    "x_max_base": INT,
    "x_is_sent": BOOL,
    "reported_accepted": BOOL,
    "reported_rejected": BOOL,
    "a": INT,
    "a_has_x": BOOL,
    "b": INT,
    "b_has_x": BOOL,
    "was_rewritten": BOOL,
    "has_decreased": BOOL,
}
NOTHING = z3.IntVal(0)


class Rules(NamedTuple):
    """The rules of the protocol; each broken variant changes one.

    Attributes:
        checks_id: Whether a retry keeps the change id and the transaction
            inserts its row.
        checks_head: Whether the transaction checks the head.
        applies_successor_only: Whether a host applies only the change that
            follows its version.
        applies_newer_only: Whether a host applies only a newer snapshot.
        settles_by_head: Whether an absent row of the id is final only when
            the head has passed every version that the change was proposed on.
    """

    checks_id: bool = True
    checks_head: bool = True
    applies_successor_only: bool = True
    applies_newer_only: bool = True
    settles_by_head: bool = True


def chain_system(name: str, rules: Rules) -> System:
    """Returns the transition system of a change and two hosts."""
    return System(
        name=name,
        variables=VARIABLES,
        inputs={"version": INT},
        start=_start,
        steps=lambda s, i: (
            _operator_steps(s, i, rules)
            + _table_steps(s, rules)
            + _host_steps(s, i, rules, "a", "b")
            + _host_steps(s, i, rules, "b", "a")
        ),
        holds=_holds,
        invariant=_invariant,
    )


def _start(s: State) -> z3.BoolRef:
    flags = [n for n, sort in VARIABLES.items() if sort == BOOL]
    numbers = [n for n, sort in VARIABLES.items() if sort == INT]
    return z3.And(
        *[z3.Not(getattr(s, n)) for n in flags],
        *[getattr(s, n) == 0 for n in numbers],
    )


def _agrees(s: State, host: str) -> z3.BoolRef:
    """Returns whether a host has the change exactly if its version does."""
    version, has_x = getattr(s, host), getattr(s, f"{host}_has_x")
    return has_x == z3.And(s.x_version > 0, s.x_version <= version)


def _holds(s: State) -> z3.BoolRef:
    return z3.And(
        s.x_rows <= 1,
        z3.Not(s.was_rewritten),
        z3.Not(s.has_decreased),
        _agrees(s, "a"),
        _agrees(s, "b"),
        z3.Implies(s.reported_accepted, s.x_rows == 1),
        z3.Implies(s.reported_rejected, s.x_rows == 0),
    )


def _invariant(s: State) -> z3.BoolRef:
    return z3.And(
        _holds(s),
        s.x_rows >= 0,
        s.x_version >= 0,
        s.x_version <= s.head,
        (s.x_rows > 0) == (s.x_version > 0),
        s.x_max_base >= 0,
        s.x_max_base <= s.head,
        z3.Implies(z3.Not(s.x_is_sent), s.x_rows == 0),
        z3.Implies(s.reported_rejected, s.x_max_base < s.head),
        *[z3.And(v >= 0, v <= s.head) for v in (s.a, s.b)],
    )


def _operator_steps(s: State, i: State, rules: Rules) -> list[Step]:
    base = i.version
    is_open = z3.Not(s.reported_rejected)
    if rules.settles_by_head:
        is_final = s.x_max_base < s.head
    else:
        is_final = z3.BoolVal(True)
    return [
        Step(
            "operator: the change is proposed on some version",
            z3.And(is_open, base >= 0, base <= s.head),
            {
                "x_is_sent": True,
                "x_max_base": z3.If(base > s.x_max_base, base, s.x_max_base),
            },
        ),
        Step(
            "operator: is answered that the change is accepted",
            s.x_rows > 0,
            {"reported_accepted": True},
        ),
        Step(
            "operator: is answered that the change is not accepted",
            z3.And(s.x_is_sent, s.x_rows == 0, is_final),
            {"reported_rejected": True},
        ),
    ]


def _table_steps(s: State, rules: Rules) -> list[Step]:
    is_unused = s.x_rows == 0 if rules.checks_id else z3.BoolVal(True)
    accepted = {"x_rows": s.x_rows + 1, "x_version": s.head + 1}
    steps = [
        Step(
            "table: accepts the change; the answer may be lost",
            z3.And(s.x_is_sent, is_unused, s.x_max_base >= s.head),
            {**accepted, "head": s.head + 1},
        ),
        Step(
            "table: accepts another change",
            z3.BoolVal(True),
            {"head": s.head + 1},
        ),
    ]
    if not rules.checks_head:
        steps.append(
            Step(
                "table: accepts the change on an old version",
                z3.And(s.x_is_sent, is_unused, s.x_max_base < s.head),
                {"x_rows": s.x_rows + 1, "was_rewritten": True},
            )
        )
    return steps


def _host_steps(
    s: State, i: State, rules: Rules, host: str, other: str
) -> list[Step]:
    version, has_x = getattr(s, host), getattr(s, f"{host}_has_x")
    other_version, other_has_x = getattr(s, other), getattr(s, f"{other}_has_x")
    exists = z3.And(i.version >= 1, i.version <= s.head)
    if rules.applies_successor_only:
        is_next = i.version == version + 1
    else:
        is_next = i.version > version
    is_newer = (
        other_version > version
        if rules.applies_newer_only
        else other_version >= 0
    )
    return [
        Step(
            f"host {host}: applies a change",
            z3.And(exists, is_next),
            {
                host: i.version,
                f"{host}_has_x": z3.Or(has_x, i.version == s.x_version),
            },
        ),
        Step(
            f"host {host}: applies a snapshot of host {other}",
            is_newer,
            {
                host: other_version,
                f"{host}_has_x": other_has_x,
                "has_decreased": z3.Or(
                    s.has_decreased, other_version < version
                ),
            },
        ),
        Step(
            f"host {host}: is replaced by a fresh one",
            z3.BoolVal(True),
            {host: NOTHING, f"{host}_has_x": False},
        ),
    ]


SOUND = [chain_system("configuration chain", Rules())]
BROKEN = [
    chain_system(
        "configuration: a retry gets a new change id", Rules(checks_id=False)
    ),
    chain_system(
        "configuration: a change is accepted on any version",
        Rules(checks_head=False),
    ),
    chain_system(
        "configuration: a host applies a change without its predecessor",
        Rules(applies_successor_only=False),
    ),
    chain_system(
        "configuration: a host applies an older snapshot",
        Rules(applies_newer_only=False),
    ),
    chain_system(
        "configuration: an absent change id counts as not accepted",
        Rules(settles_by_head=False),
    ),
]

if __name__ == "__main__":
    main(SOUND, BROKEN)
