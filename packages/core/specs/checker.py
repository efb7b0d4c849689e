"""Model checking of small transition systems with z3.

A :class:`System` is a set of variables, a start condition, guarded steps, an
invariant and a property. :func:`prove` shows by induction that the property
holds after any number of steps; :func:`refute` unrolls the steps and returns
the shortest run that breaks it.
"""

import sys
import time
from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import NamedTuple

import z3

MAX_DEPTH = 10

State = SimpleNamespace


class Step(NamedTuple):
    """One guarded step.

    Attributes:
        name: What happens.
        guard: When it may happen.
        updates: New values by variable; the others keep theirs.
    """

    name: str
    guard: z3.BoolRef
    updates: Mapping[str, z3.ExprRef | bool | float]


class System(NamedTuple):
    """A transition system.

    Attributes:
        name: What it specifies.
        variables: Sort of each state variable.
        inputs: Sort of each value that a step may choose freely.
        start: Start condition.
        steps: Steps from a state, given the chosen inputs.
        holds: Property that must hold in each state.
        invariant: Condition that each step keeps and that implies the
            property.
    """

    name: str
    variables: Mapping[str, z3.SortRef]
    inputs: Mapping[str, z3.SortRef]
    start: Callable[[State], z3.BoolRef]
    steps: Callable[[State, State], list[Step]]
    holds: Callable[[State], z3.BoolRef]
    invariant: Callable[[State], z3.BoolRef]


class Check(NamedTuple):
    """What was expected of a system and what came out.

    Attributes:
        system: The system.
        expect_proof: Whether the property should hold.
        proved: Whether it was proved for any number of steps.
        run: Names of the steps that break it, when refuted.
        gaps: What is missing in the proof, when not proved.
        duration_s: Seconds that the check took.
    """

    system: System
    expect_proof: bool
    proved: bool
    run: tuple[str, ...] | None
    gaps: tuple[str, ...]
    duration_s: float

    @property
    def is_expected(self) -> bool:
        """Whether the outcome is the expected one."""
        return self.proved if self.expect_proof else self.run is not None

    def __str__(self) -> str:
        if self.proved:
            verdict = "proved for any number of steps"
        elif self.run is not None:
            verdict = f"refuted at depth {len(self.run)}"
        else:
            verdict = f"undecided, no proof of {', '.join(self.gaps)}"
        mark = "ok" if self.is_expected else "SURPRISE"
        line = f"{mark}: {self.system.name}: {verdict}"
        line += f" ({self.duration_s:.2f} s)"
        if self.run:
            line += "".join(f"\n      {step}" for step in self.run)
        return line


def prove(system: System) -> tuple[str, ...]:
    """Returns what is missing in the proof by induction; empty if proved."""
    state = _state(system.variables, "s")
    inputs = _state(system.inputs, "i")
    invariant = system.invariant(state)
    gaps = []
    if not _is_valid(z3.Implies(system.start(state), invariant)):
        gaps.append("start")
    if not _is_valid(z3.Implies(invariant, system.holds(state))):
        gaps.append("property")
    for step in system.steps(state, inputs):
        values = _after(system, state, step)
        after = State(**dict(zip(system.variables, values, strict=True)))
        kept = system.invariant(after)
        if not _is_valid(z3.Implies(z3.And(invariant, step.guard), kept)):
            gaps.append(step.name)
    return tuple(gaps)


def refute(system: System, *, depth: int = MAX_DEPTH) -> tuple[str, ...] | None:
    """Returns the steps of a shortest run that breaks the property."""
    solver = z3.Solver()
    state = _state(system.variables, "s0")
    solver.add(system.start(state))
    chosen: list[tuple[z3.ArithRef, list[Step]]] = []
    for count in range(depth + 1):
        solver.push()
        solver.add(z3.Not(system.holds(state)))
        if solver.check() == z3.sat:
            return _run(solver.model(), chosen)
        solver.pop()
        inputs = _state(system.inputs, f"i{count}")
        steps = system.steps(state, inputs)
        after = _state(system.variables, f"s{count + 1}")
        choice = z3.Int(f"choice{count}")
        solver.add(_transition(system, state, after, steps, choice))
        chosen.append((choice, steps))
        state = after
    return None


def check(system: System, *, expect_proof: bool) -> Check:
    """Proves or refutes a system, whichever is expected."""
    started_at = time.perf_counter()
    gaps = prove(system) if expect_proof else ()
    proved = expect_proof and not gaps
    run = None if proved else refute(system)
    duration_s = time.perf_counter() - started_at
    return Check(system, expect_proof, proved, run, gaps, duration_s)


def main(sound: list[System], broken: list[System]) -> None:
    """Checks systems, prints each outcome, exits with 1 on a surprise."""
    surprises = 0
    for expect_proof, systems in ((True, sound), (False, broken)):
        for system in systems:
            result = check(system, expect_proof=expect_proof)
            print(result, flush=True)
            surprises += not result.is_expected
    sys.exit(1 if surprises else 0)


def _is_valid(formula: z3.BoolRef) -> bool:
    solver = z3.Solver()
    solver.add(z3.Not(formula))
    return solver.check() == z3.unsat


def _state(sorts: Mapping[str, z3.SortRef], prefix: str) -> State:
    names = {n: z3.Const(f"{prefix}.{n}", sort) for n, sort in sorts.items()}
    return State(**names)


def _values(system: System, state: State) -> list[z3.ExprRef]:
    return [getattr(state, name) for name in system.variables]


def _after(system: System, state: State, step: Step) -> list[z3.ExprRef]:
    unknown = set(step.updates) - set(system.variables)
    if unknown:
        raise KeyError(f"{step.name} updates unknown variables {unknown}")
    return [
        _literal(sort, step.updates[name])
        if name in step.updates
        else getattr(state, name)
        for name, sort in system.variables.items()
    ]


def _literal(sort: z3.SortRef, value: z3.ExprRef | bool | float) -> z3.ExprRef:
    if isinstance(value, bool):
        return z3.BoolVal(value)
    if isinstance(value, int | float):
        return z3.RealVal(value)
    return value


def _transition(
    system: System,
    state: State,
    after: State,
    steps: list[Step],
    choice: z3.ArithRef,
) -> z3.BoolRef:
    options = []
    for number, step in enumerate(steps):
        values = _after(system, state, step)
        pairs = zip(_values(system, after), values, strict=True)
        equal = [left == right for left, right in pairs]
        options.append(z3.And(choice == number, step.guard, *equal))
    return z3.Or(*options)


def _run(
    model: z3.ModelRef, chosen: list[tuple[z3.ArithRef, list[Step]]]
) -> tuple[str, ...]:
    return tuple(
        steps[model.eval(choice).as_long()].name for choice, steps in chosen
    )
