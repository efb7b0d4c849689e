"""Tests that formatted commands parse to the same operations."""

from hypothesis import given, settings
from hypothesis import strategies as st
from sardinewheel_cli import script
from sardinewheel_cli.formatter import format_intent, format_operation
from sardinewheel_cli.parser import parse
from sardinewheel_core.change import (
    OPERATION_TYPES,
    AbortShift,
    Change,
    DefineBlock,
    DefineRegion,
    DefineSeat,
    DefineService,
    EndDrain,
    EndShift,
    RemoveSeat,
    RemoveService,
    SetCap,
    StartDrain,
    StartShift,
    apply_change,
)
from sardinewheel_core.intent import (
    Block,
    Drain,
    Intent,
    Kind,
    Region,
    Seat,
    Service,
    Shift,
    Subject,
    Target,
)

NAMES = st.text(min_size=1, max_size=8) | st.sampled_from(
    ["quito-1", "10.0.0.0/16", "at", "show", '"', "a b", "\n", "#"]
)
COUNTS = st.integers(-(10**6), 10**9)
SHARES = st.floats(0, 1, allow_subnormal=False)
SECONDS = st.floats(1e-9, 1e9)
SUBJECTS = st.sampled_from(Subject)
KINDS = st.builds(Kind, NAMES, COUNTS, SHARES, COUNTS, st.booleans())
TARGETS = st.builds(Target, NAMES, NAMES, NAMES, COUNTS)


def by_name(values):
    return st.lists(values, max_size=3).map(
        lambda items: {item.name: item for item in items}
    )


SHIFTS = st.builds(
    Shift,
    NAMES,
    NAMES,
    NAMES,
    NAMES,
    SHARES,
    COUNTS,
    SECONDS,
    SECONDS,
    st.just(False),
)
OPERATIONS = {
    DefineRegion: st.builds(
        Region, NAMES, COUNTS, st.lists(NAMES, max_size=3).map(tuple)
    ),
    DefineSeat: st.builds(Seat, NAMES, NAMES),
    RemoveSeat: NAMES,
    DefineService: st.builds(Service, NAMES, by_name(KINDS), by_name(TARGETS)),
    RemoveService: NAMES,
    DefineBlock: st.builds(Block, NAMES, NAMES),
    SetCap: st.tuples(NAMES, COUNTS),
    StartShift: SHIFTS,
    AbortShift: NAMES,
    EndShift: NAMES,
    StartDrain: st.builds(Drain, SUBJECTS, NAMES, SECONDS),
    EndDrain: st.tuples(SUBJECTS, NAMES),
}


def operations():
    def build(kind, value):
        return kind(*value) if kind in (SetCap, EndDrain) else kind(value)

    return st.one_of(
        st.builds(build, st.just(kind), values)
        for kind, values in OPERATIONS.items()
    )


def test_every_operation_type_is_covered():
    assert set(OPERATIONS) == set(OPERATION_TYPES)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(operations())
def test_round_trip(operation):
    text = format_operation(operation)
    assert parse(text).statement.operation == operation
    assert [part.text for part in script.split(text)] == [text]


def test_formatted_intent_recreates_the_intent():
    shift = Shift("s", "pedidos", "a", "b", 0.3, 5, aborted=True)
    service = Service(
        "pedidos",
        {"confirm": Kind("confirm", 0, 0.1, 2, repeatable=False)},
        {"t1": Target("t1", "d1", "127.0.0.1:1", 3)},
    )
    chain = (
        DefineRegion(Region("a", 9, ("d1",))),
        DefineRegion(Region("b", 9, ("d2",))),
        DefineSeat(Seat("h1", "d1")),
        DefineService(service),
        DefineBlock(Block("10.0.0.0/8", "a")),
        StartShift(shift._replace(aborted=False)),
        AbortShift("s"),
        StartDrain(Drain(Subject.DOMAIN, "d2", 5.0)),
    )
    intent = apply_change(Intent.empty(), Change(1, "c", "ana", chain))
    text = "\n".join(format_intent(intent))
    parsed = [parse(part.text) for part in script.split(text)]
    reparsed = tuple(command.statement.operation for command in parsed)
    assert (
        apply_change(Intent.empty(), Change(1, "c", "ana", reparsed)) == intent
    )
