"""Specification of claims: one id without a ticket, two hosts, a table.

A transaction that was sent may take effect at any later time, and its answer
may be lost. Assumption: a caller that marks a request as a first attempt did
not send the id before, waits for one host at a time, and does not send the id
again once it was answered with "not run".

===================  ==========================================================
state                code
===================  ==========================================================
``x_is_requested``   a request with the id arrived at the host
``x_is_first``       ``Request.is_first_attempt``
``x_awaited``        the caller still waits for that host
``x_transacted``     a transaction that inserts its row was sent; its id is
                     ``ClaimQueue.change_id``; its result does not matter
``x_row``            the row ``claim/<id>`` names that host's incarnation
``x_is_settled``     the exchange left ``Stage.CLAIMING``
``x_refused``        the host answered a first attempt with "not run"
``x_may_send``       the request is in the execution filters
===================  ==========================================================
"""

from typing import NamedTuple

import z3
from checker import State, Step, System, main

HOSTS = ("a", "b")
OTHER = {"a": "b", "b": "a"}
BOOL = z3.BoolSort()
REAL = z3.RealSort()
FLAGS = (
    "is_up",
    "is_requested",
    "is_first",
    "awaited",
    "transacted",
    "row",
    "is_settled",
    "refused",
    "may_send",
    "sent",
)

VARIABLES = {
    **{f"{host}_{flag}": BOOL for host in HOSTS for flag in FLAGS},
    **{f"{host}_executions": REAL for host in HOSTS},
    "answered_not_run": BOOL,
}


class Rules(NamedTuple):
    """The rules of the protocol; each broken variant changes one.

    Attributes:
        settles: Whether the outcome of a transaction whose answer was lost is
            determined before the request may run.
        refuses_first_only: Whether only first attempts are answered with "not
            run".
        refuses_once: Whether later attempts with an id that was answered with
            "not run" are answered with "unknown".
        names_incarnation: Whether rows name the incarnation, so that a
            restarted host does not own rows of its predecessor.
    """

    settles: bool = True
    refuses_first_only: bool = True
    refuses_once: bool = True
    names_incarnation: bool = True


def claim_system(name: str, rules: Rules) -> System:
    """Returns the transition system of an id without a ticket."""
    return System(
        name=name,
        variables=VARIABLES,
        inputs={},
        start=_start,
        steps=lambda s, i: [
            step for host in HOSTS for step in _steps(s, host, rules)
        ],
        holds=_holds,
        invariant=_invariant,
    )


def _start(s: State) -> z3.BoolRef:
    flags = [n for n, sort in VARIABLES.items() if sort == BOOL]
    return z3.And(
        s.a_is_up,
        s.b_is_up,
        *[z3.Not(getattr(s, n)) for n in flags if not n.endswith("is_up")],
        s.a_executions == 0,
        s.b_executions == 0,
    )


def _holds(s: State) -> z3.BoolRef:
    executions = s.a_executions + s.b_executions
    return z3.And(
        executions <= 1, z3.Implies(s.answered_not_run, executions == 0)
    )


def _possible_executions(s: State, host: str) -> z3.ArithRef:
    flags = (getattr(s, f"{host}_may_send"), getattr(s, f"{host}_sent"))
    executions = getattr(s, f"{host}_executions")
    return executions + z3.Sum([z3.If(f, 1.0, 0.0) for f in flags])


def _invariant(s: State) -> z3.BoolRef:
    return z3.And(
        z3.Not(z3.And(s.a_row, s.b_row)),
        *[_host_invariant(s, host) for host in HOSTS],
    )


def _host_invariant(s: State, host: str) -> z3.BoolRef:
    def own(flag: str) -> z3.BoolRef:
        return getattr(s, f"{host}_{flag}")

    possible_executions = _possible_executions(s, host)
    other_requested = getattr(s, f"{OTHER[host]}_is_requested")
    return z3.And(
        own("executions") >= 0,
        possible_executions <= 1,
        z3.Implies(
            possible_executions > 0, z3.And(own("row"), own("is_settled"))
        ),
        z3.Implies(s.answered_not_run, possible_executions == 0),
        z3.Implies(
            z3.And(s.answered_not_run, own("is_requested")), own("is_settled")
        ),
        z3.Implies(own("row"), own("transacted")),
        z3.Implies(own("transacted"), own("is_requested")),
        z3.Implies(own("is_settled"), own("is_requested")),
        z3.Implies(
            z3.And(own("is_first"), own("awaited")), z3.Not(other_requested)
        ),
    )


def _steps(s: State, host: str, rules: Rules) -> list[Step]:
    def own(flag: str) -> z3.BoolRef:
        return getattr(s, f"{host}_{flag}")

    def step(name: str, guard: z3.BoolRef, **updates) -> Step:
        renamed = {f"{host}_{flag}": value for flag, value in updates.items()}
        return Step(f"{host}: {name}", guard, renamed)

    is_open = z3.And(
        own("is_up"), own("is_requested"), z3.Not(own("is_settled"))
    )
    knows_result = own("row") if rules.settles else z3.BoolVal(True)
    may_refuse = own("is_first")
    is_delivered = z3.Or(s.answered_not_run, own("awaited"))
    if not rules.refuses_first_only:
        may_refuse = z3.BoolVal(True)
    refuses = Step(
        f'{host}: abandons the claim and answers "not run"',
        z3.And(is_open, may_refuse),
        {
            f"{host}_is_settled": True,
            f"{host}_refused": True,
            "answered_not_run": is_delivered,
        },
    )
    steps = [
        _send_id(s, host),
        step("claims the id", is_open, transacted=True),
        step(
            "has its row inserted",
            z3.And(own("transacted"), z3.Not(s.a_row), z3.Not(s.b_row)),
            row=True,
        ),
        step(
            "learns that the row is its own",
            z3.And(is_open, own("transacted"), knows_result),
            is_settled=True,
            may_send=True,
        ),
        step("abandons the claim without an answer", is_open, is_settled=True),
        refuses,
        step(
            "sends the request",
            z3.And(own("is_up"), own("may_send")),
            may_send=False,
            sent=True,
        ),
        step(
            "has the request executed",
            own("sent"),
            sent=False,
            executions=own("executions") + 1,
        ),
        step("crashes", own("is_up"), is_up=False, may_send=False),
    ]
    if not rules.refuses_once:
        again = Step(
            f'{host}: answers "not run" again from its record',
            own("refused"),
            {"answered_not_run": True},
        )
        steps.append(again)
    if not rules.names_incarnation:
        steps.append(
            step("restarts", z3.Not(own("is_up")), is_up=True, is_settled=False)
        )
    return steps


def _send_id(s: State, host: str) -> Step:
    other = OTHER[host]
    is_new = z3.Not(getattr(s, f"{host}_is_requested"))
    return Step(
        f"caller: sends the id to {host}",
        z3.And(is_new, z3.Not(s.answered_not_run)),
        {
            f"{host}_is_requested": True,
            f"{host}_is_first": z3.Not(getattr(s, f"{other}_is_requested")),
            f"{host}_awaited": True,
            f"{other}_awaited": False,
        },
    )


SOUND = [claim_system("a claimed request id is executed at most once", Rules())]
BROKEN = [
    claim_system("broken: executes after a lost answer", Rules(settles=False)),
    claim_system(
        "broken: answers retries with not run", Rules(refuses_first_only=False)
    ),
    claim_system(
        "broken: repeats not run from its record", Rules(refuses_once=False)
    ),
    claim_system(
        "broken: rows name only the seat", Rules(names_incarnation=False)
    ),
]

if __name__ == "__main__":
    main(SOUND, BROKEN)
