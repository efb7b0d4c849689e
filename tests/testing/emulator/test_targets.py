"""Tests of the target model."""

from sardinewheel_testing.emulator.scenario import KINDS, Scenario, Span
from sardinewheel_testing.emulator.scheduler import Scheduler
from sardinewheel_testing.emulator.targets import (
    CACHED_TIME_FACTOR,
    QUEUE_PER_SLOT,
    TargetModel,
    TargetRequest,
)


class TargetHarness:
    """A target model and its responses by request number."""

    def __init__(self, **fields):
        self.scheduler = Scheduler()
        self.responses = {}
        self.limits = []
        self.target = TargetModel(
            "t0",
            "north",
            scenario=Scenario("test", KINDS, slots=2, **fields),
            scheduler=self.scheduler,
            time_factor=1.0,
            has_slow_span=True,
            has_limited_span=True,
        )

    def send(self, number, key="o1", deadline=100.0):
        def on_response(was_executed, load, announcement):
            self.limits.append(announcement.limit_per_s)
            self.responses[number] = (self.scheduler.now, was_executed, load)

        self.target.receive(
            TargetRequest(number, key, 1.0, deadline, on_response)
        )


def test_target_names_its_limit_in_the_limited_interval():
    harness = TargetHarness(limited=Span(0.5, 1.5), limit_per_s=3.0)
    harness.send(1)
    harness.send(2, key="o2")
    harness.send(3)
    harness.scheduler.run()
    assert harness.limits == [3.0, 3.0, 3.0]
    harness.send(4)
    harness.scheduler.run()
    assert harness.limits[3:] == [None]


def test_cached_object_takes_less_time():
    harness = TargetHarness()
    harness.send(1)
    harness.scheduler.run()
    harness.send(2)
    harness.scheduler.run()
    assert harness.responses[1][0] == 1.0
    assert harness.responses[2][0] == 1.0 + CACHED_TIME_FACTOR


def test_request_beyond_the_queue_is_not_executed():
    harness = TargetHarness()
    capacity = 2 + 2 * QUEUE_PER_SLOT
    for number in range(capacity + 1):
        harness.send(number)
    assert list(harness.responses) == [capacity]
    assert harness.responses[capacity][1:] == (
        False,
        (2, 2 * QUEUE_PER_SLOT, 2, 1.0),
    )
    harness.scheduler.run()
    assert all(harness.responses[number][1] for number in range(capacity))


def test_queued_request_past_its_deadline_is_not_executed():
    harness = TargetHarness()
    for number in range(3):
        harness.send(number, key=f"o{number}", deadline=0.5)
    harness.scheduler.run()
    assert harness.responses[2][1] is False
    assert harness.target.executions == {0: 1, 1: 1}


def test_slow_interval_lengthens_execution():
    harness = TargetHarness(slow=Span(0.0, 1.0), slow_factor=4.0)
    harness.send(1)
    harness.scheduler.run()
    assert harness.responses[1][0] == 4.0
