"""The model of a target."""

from sardinewheel_testing.emulator.scenario import KINDS, Scenario, Span
from sardinewheel_testing.emulator.targets import (
    KNOWN_OBJECT_SHARE,
    QUEUE_FOR_EACH_SLOT,
    TargetModel,
    Work,
)
from sardinewheel_testing.emulator.timeline import Timeline


class Bench:
    """A target, and when each request was answered."""

    def __init__(self, **fields):
        self.timeline = Timeline()
        self.answers = {}
        self.target = TargetModel(
            "t0",
            "north",
            scenario=Scenario("test", KINDS, slots=2, **fields),
            timeline=self.timeline,
            speed=1.0,
            is_fragile=True,
        )

    def ask(self, number, key="o1", deadline=100.0):
        def answer(was_executed, load):
            self.answers[number] = (self.timeline.now, was_executed, load)

        self.target.arrive(Work(number, key, 1.0, deadline, answer))


def test_an_object_that_it_knows_takes_less():
    bench = Bench()
    bench.ask(1)
    bench.timeline.run()
    bench.ask(2)
    bench.timeline.run()
    assert bench.answers[1][0] == 1.0
    assert bench.answers[2][0] == 1.0 + KNOWN_OBJECT_SHARE


def test_what_the_queue_cannot_hold_is_not_executed():
    bench = Bench()
    room = 2 + 2 * QUEUE_FOR_EACH_SLOT
    for number in range(room + 1):
        bench.ask(number)
    assert list(bench.answers) == [room]
    assert bench.answers[room][1:] == (False, (2, 2 * QUEUE_FOR_EACH_SLOT, 2))
    bench.timeline.run()
    assert all(bench.answers[number][1] for number in range(room))


def test_nobody_waits_for_it_any_longer():
    bench = Bench()
    for number in range(3):
        bench.ask(number, key=f"o{number}", deadline=0.5)
    bench.timeline.run()
    assert bench.answers[2][1] is False
    assert bench.target.executed == {0: 1, 1: 1}


def test_a_fragile_target_is_slow_for_a_while():
    bench = Bench(slow=Span(0.0, 1.0), slow_factor=4.0)
    bench.ask(1)
    bench.timeline.run()
    assert bench.answers[1][0] == 4.0
