"""Schedules are seeded and follow their rates."""

import json

from sardinewheel_testing.calls import (
    AttemptMade,
    AttemptOutcome,
    Call,
    CallOutcome,
    CallResult,
    Rate,
    Surge,
    result_from_plain,
    result_to_plain,
    schedule,
)

RATE = Rate("pedidos", "confirm", 2, False, 100.0, 5.0)


def test_same_seed_same_schedule():
    first = schedule([RATE], [], seconds=5.0, seed=1)
    assert first == schedule([RATE], [], seconds=5.0, seed=1)
    assert first != schedule([RATE], [], seconds=5.0, seed=2)


def test_surge_multiplies_the_rate():
    calls = schedule([RATE], [Surge(5.0, 10.0, 3.0)], seconds=10.0, seed=1)
    before = sum(call.at_s < 5.0 for call in calls)
    assert 400 < before < 600
    assert 1300 < len(calls) - before < 1700
    assert calls == sorted(calls, key=lambda call: call.at_s)


def test_results_survive_json():
    attempts = (AttemptMade("a", AttemptOutcome.NOT_RUN, "no-room"),)
    result = CallResult(Call(3, 0.5, RATE), CallOutcome.REFUSED, 0.25, attempts)
    text = json.dumps(result_to_plain(result))
    assert result_from_plain(json.loads(text)) == result
