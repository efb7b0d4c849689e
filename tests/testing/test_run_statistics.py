"""Tests the checks of promises and the statistics of a run."""

from collections import Counter

import pytest
from sardinewheel_testing.calls import (
    AttemptMade,
    AttemptOutcome,
    Call,
    CallOutcome,
    CallResult,
    Workload,
)
from sardinewheel_testing.report import verdict_lines
from sardinewheel_testing.run_statistics import by_kind, check_promises

CONFIRM = Workload("pedidos", "confirm", 2, False, 1.0, 5.0)
STATUS = Workload("pedidos", "status", 1, True, 1.0, 5.0)


def result(outcome, *attempts, workload=CONFIRM, is_matching_answer=True):
    call = Call(0, 0.0, workload)
    return CallResult(call, outcome, 0.1, attempts, is_matching_answer)


DONE = AttemptMade("a", AttemptOutcome.DONE)
NOT_RUN = AttemptMade("a", AttemptOutcome.NOT_RUN, "no-room")
DONE_ON_RETRY = AttemptMade("b", AttemptOutcome.DONE)
UNKNOWN = AttemptMade("a", AttemptOutcome.UNKNOWN, "owner-gone")


def verdict(results, executions, **fields):
    fields = {"caps": {"austro": 5}, "peak_weight": {"austro": 5}, **fields}
    return check_promises(results, Counter(executions), **fields)


@pytest.mark.parametrize(
    ("results", "executions"),
    [
        ([result(CallOutcome.DONE, DONE)], {"a": 1}),
        ([result(CallOutcome.DONE, NOT_RUN, DONE_ON_RETRY)], {"b": 1}),
        ([result(CallOutcome.REFUSED, NOT_RUN)], {}),
        ([result(CallOutcome.UNKNOWN, UNKNOWN)], {"a": 1}),
        ([result(CallOutcome.UNKNOWN, UNKNOWN)], {}),
        ([result(CallOutcome.DONE, DONE, workload=STATUS)], {"a": 2}),
    ],
)
def test_verdict_without_violation(results, executions):
    assert verdict(results, executions).is_kept


@pytest.mark.parametrize(
    ("promise", "results", "executions"),
    [
        ("doubled", [result(CallOutcome.DONE, DONE)], {"a": 2}),
        (
            "doubled",
            [result(CallOutcome.DONE, UNKNOWN, DONE_ON_RETRY)],
            {"a": 1, "b": 1},
        ),
        ("lost", [result(CallOutcome.DONE, DONE)], {}),
        ("lost", [result(CallOutcome.UNANSWERED)], {}),
        ("false_not_run", [result(CallOutcome.REFUSED, NOT_RUN)], {"a": 1}),
        (
            "foreign_answers",
            [result(CallOutcome.DONE, DONE, is_matching_answer=False)],
            {"a": 1},
        ),
    ],
)
def test_verdict_with_one_violation(promise, results, executions):
    violations = verdict(results, executions)
    assert [n for n, v in violations._asdict().items() if v] == [promise]
    assert not violations.is_kept
    assert "PROMISES BROKEN" in verdict_lines(violations)


def test_caps_and_planned_stops_are_checked():
    violations = verdict(
        [], {}, peak_weight={"austro": 7}, stops={"quito-1": 1}
    )
    assert violations.over_cap == (("austro", 2),)
    assert violations.broken_stops == ("quito-1",)


def test_statistics_by_kind():
    statistics = by_kind(
        [
            result(CallOutcome.DONE, DONE),
            result(CallOutcome.REFUSED, NOT_RUN),
        ]
    )
    assert [(f.kind, f.calls) for f in statistics] == [("confirm", 2)]
    assert statistics[0].latency.p50 == 100.0
