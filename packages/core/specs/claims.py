"""Specification of claims: one id without a ticket, two hosts, a table.

A transaction that was sent may take effect at any later time, and its answer
may be lost. Assumption: a caller that says "first attempt" did not send the
id before, waits for one host at a time, and uses the id no more once it heard
"not run".

===================  ==========================================================
state                code
===================  ==========================================================
``x_is_asked``       a request with the id arrived at the host
``x_is_first``       ``Request.is_first_attempt``
``x_awaited``        the caller still listens to that host
``x_transacted``     ``ClaimQueue.change_id`` named it, whatever was answered
``x_row``            the row ``claim/<id>`` names that host's incarnation
``x_is_settled``     the exchange left ``Stage.CLAIMING``
``x_refused``        it was given up as a first attempt
``x_may_send``       it goes through the execution filters
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
    "is_asked",
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
    "said_not_run": BOOL,
}


class Rules(NamedTuple):
    """The rules of the protocol; each broken variant changes one.

    Attributes:
        settles: Whether a lost answer is settled before the id may run.
        refuses_first_only: Whether "not run" is said of first attempts only.
        refuses_once: Whether an id that was given up is "unknown" to later
            attempts.
        names_incarnation: Whether a restarted host does not own old rows.
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
    return z3.And(executions <= 1, z3.Implies(s.said_not_run, executions == 0))


def _chances(s: State, host: str) -> z3.ArithRef:
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

    chances = _chances(s, host)
    other_asked = getattr(s, f"{OTHER[host]}_is_asked")
    return z3.And(
        own("executions") >= 0,
        chances <= 1,
        z3.Implies(chances > 0, z3.And(own("row"), own("is_settled"))),
        z3.Implies(s.said_not_run, chances == 0),
        z3.Implies(z3.And(s.said_not_run, own("is_asked")), own("is_settled")),
        z3.Implies(own("row"), own("transacted")),
        z3.Implies(own("transacted"), own("is_asked")),
        z3.Implies(own("is_settled"), own("is_asked")),
        z3.Implies(
            z3.And(own("is_first"), own("awaited")), z3.Not(other_asked)
        ),
    )


def _steps(s: State, host: str, rules: Rules) -> list[Step]:
    def own(flag: str) -> z3.BoolRef:
        return getattr(s, f"{host}_{flag}")

    def step(name: str, guard: z3.BoolRef, **updates) -> Step:
        renamed = {f"{host}_{flag}": value for flag, value in updates.items()}
        return Step(f"{host}: {name}", guard, renamed)

    is_open = z3.And(own("is_up"), own("is_asked"), z3.Not(own("is_settled")))
    learns = own("row") if rules.settles else z3.BoolVal(True)
    may_refuse = own("is_first")
    is_heard = z3.Or(s.said_not_run, own("awaited"))
    if not rules.refuses_first_only:
        may_refuse = z3.BoolVal(True)
    refuses = Step(
        f'{host}: gives up and says "not run"',
        z3.And(is_open, may_refuse),
        {
            f"{host}_is_settled": True,
            f"{host}_refused": True,
            "said_not_run": is_heard,
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
            z3.And(is_open, own("transacted"), learns),
            is_settled=True,
            may_send=True,
        ),
        step("gives up without a word", is_open, is_settled=True),
        refuses,
        step(
            "sends the request",
            z3.And(own("is_up"), own("may_send")),
            may_send=False,
            sent=True,
        ),
        step(
            "has it executed",
            own("sent"),
            sent=False,
            executions=own("executions") + 1,
        ),
        step("crashes", own("is_up"), is_up=False, may_send=False),
    ]
    if not rules.refuses_once:
        again = Step(
            f'{host}: says "not run" again from its record',
            own("refused"),
            {"said_not_run": True},
        )
        steps.append(again)
    if not rules.names_incarnation:
        steps.append(
            step("restarts", z3.Not(own("is_up")), is_up=True, is_settled=False)
        )
    return steps


def _send_id(s: State, host: str) -> Step:
    other = OTHER[host]
    is_new = z3.Not(getattr(s, f"{host}_is_asked"))
    return Step(
        f"caller: sends the id to {host}",
        z3.And(is_new, z3.Not(s.said_not_run)),
        {
            f"{host}_is_asked": True,
            f"{host}_is_first": z3.Not(getattr(s, f"{other}_is_asked")),
            f"{host}_awaited": True,
            f"{other}_awaited": False,
        },
    )


SOUND = [claim_system("a claimed id runs at most once", Rules())]
BROKEN = [
    claim_system("broken: runs on a lost answer", Rules(settles=False)),
    claim_system(
        "broken: refuses retries as not run", Rules(refuses_first_only=False)
    ),
    claim_system(
        "broken: repeats not run from its record", Rules(refuses_once=False)
    ),
    claim_system(
        "broken: rows name the seat only", Rules(names_incarnation=False)
    ),
]

if __name__ == "__main__":
    main(SOUND, BROKEN)
