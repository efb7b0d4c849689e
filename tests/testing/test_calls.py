"""Tests load schedules and the JSON form of call results."""

import json

from sardinewheel_testing.calls import (
    AttemptMade,
    AttemptOutcome,
    Call,
    CallOutcome,
    CallResult,
    Surge,
    Workload,
    result_from_plain,
    result_to_plain,
    schedule,
)

WORKLOAD = Workload("pedidos", "confirm", 2, False, 100.0, 5.0)


def test_schedule_depends_only_on_seed():
    first = schedule([WORKLOAD], [], seconds=5.0, seed=1)
    assert first == schedule([WORKLOAD], [], seconds=5.0, seed=1)
    assert first != schedule([WORKLOAD], [], seconds=5.0, seed=2)


def test_surge_multiplies_request_rate():
    calls = schedule([WORKLOAD], [Surge(5.0, 10.0, 3.0)], seconds=10.0, seed=1)
    before = sum(call.at_s < 5.0 for call in calls)
    assert 400 < before < 600
    assert 1300 < len(calls) - before < 1700
    assert calls == sorted(calls, key=lambda call: call.at_s)


def test_results_round_trip_through_json():
    attempts = (AttemptMade("a", AttemptOutcome.NOT_RUN, "no-room"),)
    result = CallResult(
        Call(3, 0.5, WORKLOAD), CallOutcome.REFUSED, 0.25, attempts
    )
    text = json.dumps(result_to_plain(result))
    assert result_from_plain(json.loads(text)) == result
