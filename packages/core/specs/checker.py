"""Model checking of small transition systems with z3.

A :class:`System` consists of variables, a start condition, guarded steps, an
invariant and a property. :func:`prove` proves by induction that the property
holds after any number of steps; :func:`refute` performs bounded model checking
and returns a shortest counterexample.
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
        name: Description of the step, for counterexamples.
        guard: Condition under which the step may happen.
        updates: New values by variable; other variables stay the same.
    """

    name: str
    guard: z3.BoolRef
    updates: Mapping[str, z3.ExprRef | bool | float]


class System(NamedTuple):
    """A transition system.

    Attributes:
        name: Description of the system.
        variables: Sort of each state variable.
        inputs: Sort of each unconstrained value that a step may use.
        start: Start condition.
        steps: Steps from a state, given the inputs.
        holds: Property that must hold in each state.
        invariant: Condition that each step preserves and that implies the
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
    """Expected and actual result of checking a system.

    Attributes:
        system: The system.
        expect_proof: Whether the property should hold.
        proved: Whether the property was proved for any number of steps.
        counterexample: Names of the steps that violate the property, when
            refuted.
        failed_obligations: What the induction failed for, as returned by
            :func:`prove`.
        duration_s: Duration of the check, in seconds.
    """

    system: System
    expect_proof: bool
    proved: bool
    counterexample: tuple[str, ...] | None
    failed_obligations: tuple[str, ...]
    duration_s: float

    @property
    def is_expected(self) -> bool:
        """Whether the outcome is the expected one."""
        return (
            self.proved
            if self.expect_proof
            else self.counterexample is not None
        )

    def __str__(self) -> str:
        if self.proved:
            verdict = "proved for any number of steps"
        elif self.counterexample is not None:
            verdict = f"refuted at depth {len(self.counterexample)}"
        else:
            verdict = (
                f"undecided, no proof of {', '.join(self.failed_obligations)}"
            )
        mark = "ok" if self.is_expected else "UNEXPECTED"
        line = f"{mark}: {self.system.name}: {verdict}"
        line += f" ({self.duration_s:.2f} s)"
        if self.counterexample:
            line += "".join(f"\n      {step}" for step in self.counterexample)
        return line


def prove(system: System) -> tuple[str, ...]:
    """Proves the property of a system by induction.

    Returns:
        What could not be proved: ``"start"`` if the start condition does not
        imply the invariant, ``"property"`` if the invariant does not imply
        the property, and the steps that do not preserve the invariant. Empty
        if the property is proved.
    """
    state = _state(system.variables, "s")
    inputs = _state(system.inputs, "i")
    invariant = system.invariant(state)
    failed_obligations = []
    if not _is_valid(z3.Implies(system.start(state), invariant)):
        failed_obligations.append("start")
    if not _is_valid(z3.Implies(invariant, system.holds(state))):
        failed_obligations.append("property")
    for step in system.steps(state, inputs):
        values = _after(system, state, step)
        after = State(**dict(zip(system.variables, values, strict=True)))
        kept = system.invariant(after)
        if not _is_valid(z3.Implies(z3.And(invariant, step.guard), kept)):
            failed_obligations.append(step.name)
    return tuple(failed_obligations)


def refute(system: System, *, depth: int = MAX_DEPTH) -> tuple[str, ...] | None:
    """Searches for a shortest run that violates the property.

    Returns:
        The names of its steps, or ``None`` if there is no such run of up to
        ``depth`` steps.
    """
    solver = z3.Solver()
    state = _state(system.variables, "s0")
    solver.add(system.start(state))
    chosen: list[tuple[z3.ArithRef, list[Step]]] = []
    for count in range(depth + 1):
        solver.push()
        solver.add(z3.Not(system.holds(state)))
        if solver.check() == z3.sat:
            return _step_names(solver.model(), chosen)
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
    """Tries to prove a system if that is expected; otherwise refutes it.

    If a proof was expected and fails, searches for a counterexample.
    """
    started_at = time.perf_counter()
    failed_obligations = prove(system) if expect_proof else ()
    proved = expect_proof and not failed_obligations
    counterexample = None if proved else refute(system)
    duration_s = time.perf_counter() - started_at
    return Check(
        system,
        expect_proof,
        proved,
        counterexample,
        failed_obligations,
        duration_s,
    )


def main(sound: list[System], broken: list[System]) -> None:
    """Checks systems, prints each result and exits.

    Args:
        sound: Systems whose property must be proved.
        broken: Systems whose property must be refuted.

    Raises:
        SystemExit: Always; with status 1 if a result is not the expected one.
    """
    unexpected = 0
    for expect_proof, systems in ((True, sound), (False, broken)):
        for system in systems:
            result = check(system, expect_proof=expect_proof)
            print(result, flush=True)
            unexpected += not result.is_expected
    sys.exit(1 if unexpected else 0)


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


def _step_names(
    model: z3.ModelRef, chosen: list[tuple[z3.ArithRef, list[Step]]]
) -> tuple[str, ...]:
    return tuple(
        steps[model.eval(choice).as_long()].name for choice, steps in chosen
    )
