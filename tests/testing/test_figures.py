"""The verdict of a run shows every broken promise."""

from collections import Counter

import pytest
from sardinewheel_testing.calls import (
    AttemptMade,
    AttemptOutcome,
    Call,
    CallOutcome,
    CallResult,
    Rate,
)
from sardinewheel_testing.figures import by_kind, judge
from sardinewheel_testing.report import verdict_lines

CONFIRM = Rate("pedidos", "confirm", 2, False, 1.0, 5.0)
STATUS = Rate("pedidos", "status", 1, True, 1.0, 5.0)


def result(outcome, *attempts, rate=CONFIRM, is_own_answer=True):
    call = Call(0, 0.0, rate)
    return CallResult(call, outcome, 0.1, attempts, is_own_answer)


DONE = AttemptMade("a", AttemptOutcome.DONE)
NOT_RUN = AttemptMade("a", AttemptOutcome.NOT_RUN, "no-room")
AGAIN = AttemptMade("b", AttemptOutcome.DONE)
UNKNOWN = AttemptMade("a", AttemptOutcome.UNKNOWN, "owner-gone")


def verdict(results, executions, **fields):
    fields = {"caps": {"austro": 5}, "most": {"austro": 5}, **fields}
    return judge(results, Counter(executions), **fields)


@pytest.mark.parametrize(
    ("results", "executions"),
    [
        ([result(CallOutcome.DONE, DONE)], {"a": 1}),
        ([result(CallOutcome.DONE, NOT_RUN, AGAIN)], {"b": 1}),
        ([result(CallOutcome.REFUSED, NOT_RUN)], {}),
        ([result(CallOutcome.UNKNOWN, UNKNOWN)], {"a": 1}),
        ([result(CallOutcome.UNKNOWN, UNKNOWN)], {}),
        ([result(CallOutcome.DONE, DONE, rate=STATUS)], {"a": 2}),
    ],
)
def test_kept(results, executions):
    assert verdict(results, executions).is_kept


@pytest.mark.parametrize(
    ("promise", "results", "executions"),
    [
        ("doubled", [result(CallOutcome.DONE, DONE)], {"a": 2}),
        (
            "doubled",
            [result(CallOutcome.DONE, UNKNOWN, AGAIN)],
            {"a": 1, "b": 1},
        ),
        ("lost", [result(CallOutcome.DONE, DONE)], {}),
        ("lost", [result(CallOutcome.UNANSWERED)], {}),
        ("false_not_run", [result(CallOutcome.REFUSED, NOT_RUN)], {"a": 1}),
        (
            "foreign_answers",
            [result(CallOutcome.DONE, DONE, is_own_answer=False)],
            {"a": 1},
        ),
    ],
)
def test_broken(promise, results, executions):
    found = verdict(results, executions)
    assert [n for n, v in found._asdict().items() if v] == [promise]
    assert not found.is_kept
    assert "PROMISES BROKEN" in verdict_lines(found)


def test_cap_and_planned_stops_are_judged():
    found = verdict([], {}, most={"austro": 7}, stops={"quito-1": 1})
    assert found.over_cap == (("austro", 2),)
    assert found.broken_stops == ("quito-1",)


def test_figures_by_kind():
    figures = by_kind(
        [
            result(CallOutcome.DONE, DONE),
            result(CallOutcome.REFUSED, NOT_RUN),
        ]
    )
    assert [(f.kind, f.calls) for f in figures] == [("confirm", 2)]
    assert figures[0].latency.p50 == 100.0
