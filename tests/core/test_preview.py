"""Preview of a change: differences, findings and guarantees at risk."""

import pytest
from sardinewheel_core.change import (
    Change,
    DefineRegion,
    DefineSeat,
    DefineService,
    EndDrain,
    RemoveService,
    SetCap,
    StartDrain,
    StartShift,
    apply_change,
)
from sardinewheel_core.entities import is_independent
from sardinewheel_core.intent import (
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
from sardinewheel_core.preview import (
    Difference,
    RegionUse,
    ServiceUse,
    Usage,
    preview,
)

KINDS = {"confirm": Kind("confirm", 0, reserved=0.5)}
TARGETS = {
    name: Target(name, domain, "127.0.0.1:1", 4)
    for name, domain in {"t1": "d1", "t2": "d1", "t3": "d2"}.items()
}


@pytest.fixture
def intent():
    operations = (
        DefineRegion(Region("a", 10, ("d1",))),
        DefineRegion(Region("b", 6, ("d2",))),
        DefineSeat(Seat("h1", "d1")),
        DefineSeat(Seat("h2", "d2")),
        DefineService(Service("pedidos", KINDS, TARGETS)),
    )
    return apply_change(Intent.empty(), Change(1, "c", "ana", operations))


def usage(*, a=0, b=0, pedidos=0):
    return Usage(
        (RegionUse("a", a), RegionUse("b", b)),
        (ServiceUse("pedidos", pedidos),),
    )


def drain(subject, name):
    return StartDrain(Drain(subject, name))


def strains(intent, operation, use):
    result = preview(intent, (operation,), use)
    assert not result.findings
    return [(s.promise, s.unit, s.needed, s.left) for s in result.strains]


def test_differences_name_the_changed_field(intent):
    result = preview(intent, (SetCap("a", 12),), usage())
    assert result.differences == (Difference("regions.a.cap", "10", "12"),)
    assert result.strains == ()


def test_findings_replace_differences(intent):
    result = preview(intent, (SetCap("x", 12),), usage())
    assert len(result.findings) == 1
    assert not result.differences


@pytest.mark.parametrize(
    ("operation", "use", "expected"),
    [
        (drain(Subject.TARGET, "t1"), usage(pedidos=8), []),
        (
            drain(Subject.TARGET, "t1"),
            usage(pedidos=9),
            [("drain-room", "slots", 9, 8)],
        ),
        (
            drain(Subject.DOMAIN, "d1"),
            usage(),
            [("drain-room", "slots", 6, 4)],
        ),
        (
            drain(Subject.REGION, "b"),
            usage(a=6, b=5),
            [("drain-room", "weight units of cap", 11, 10)],
        ),
        (
            drain(Subject.ENTRY_HOST, "h1"),
            usage(),
            [("drain-room", "entry hosts", 1, 0)],
        ),
        (
            SetCap("a", 4),
            usage(a=5),
            [("region-cap", "weight units", 5, 4)],
        ),
        (
            StartShift(Shift("s", "pedidos", "a", "b", 0.5, 3)),
            usage(a=10, b=2),
            [("region-cap", "weight units", 7, 6)],
        ),
        (
            RemoveService("pedidos"),
            usage(pedidos=2),
            [("service-in-use", "requests in flight", 2, 0)],
        ),
    ],
)
def test_strains(intent, operation, use, expected):
    assert strains(intent, operation, use) == expected


def test_draining_the_last_target_puts_drain_room_at_risk(intent):
    operations = tuple(drain(Subject.TARGET, name) for name in ("t1", "t2"))
    drained = apply_change(intent, Change(2, "c2", "ana", operations))
    last = drain(Subject.TARGET, "t3")
    promises = [s[0] for s in strains(drained, last, usage())]
    assert "drain-room" in promises
    undrain = EndDrain(Subject.TARGET, "t1")
    assert strains(drained, undrain, usage(pedidos=12)) == []


def test_element_wise_max_returns_the_larger_value():
    both = usage(a=3, pedidos=1).element_wise_max(usage(a=2, b=4))
    assert (both.weight("a"), both.weight("b")) == (3, 4)
    assert both.in_flight("pedidos") == 1


def test_independent_changes():
    cap = (SetCap("a", 4),)
    other = Change(2, "c", "luz", (drain(Subject.TARGET, "t1"),))
    assert is_independent(cap, other)
    shift = StartShift(Shift("s", "pedidos", "b", "a", 0.5, 3))
    assert not is_independent(cap, Change(2, "c", "luz", (shift,)))
