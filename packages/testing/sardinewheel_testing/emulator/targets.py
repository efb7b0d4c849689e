"""A model of a target: slots, a short queue, and the objects it knows."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from sardinewheel_gateway.policy.loads import ReportedLoad

from sardinewheel_testing.emulator.scenario import Scenario
from sardinewheel_testing.emulator.timeline import Timeline

KNOWN_OBJECT_SHARE = 0.3
MAX_KNOWN_OBJECTS = 64
QUEUE_FOR_EACH_SLOT = 2


class Work(NamedTuple):
    """A request at a target.

    Attributes:
        request_id: The request.
        object_key: Object that it concerns.
        work_s: Seconds of work if the object is not known.
        deadline: When nobody waits any longer, in simulated time.
        answer: Called with whether it was executed, and the load.
    """

    request_id: int
    object_key: str
    work_s: float
    deadline: float
    answer: Callable[[bool, ReportedLoad], None]


class TargetModel:
    """A target.

    Attributes:
        target_id: Its id.
        region: Its region.
        speed: Factor on the time that work takes.
        is_fragile: Whether it turns slow when the scenario says so.
        executed: How often each request was executed.
    """

    def __init__(
        self,
        target_id: str,
        region: str,
        *,
        scenario: Scenario,
        timeline: Timeline,
        speed: float,
        is_fragile: bool,
    ):
        self.target_id = target_id
        self.region = region
        self.scenario = scenario
        self.timeline = timeline
        self.speed = speed
        self.is_fragile = is_fragile
        self.running = 0
        self.waiting: deque[Work] = deque()
        self.known: OrderedDict[str, None] = OrderedDict()
        self.executed: Counter[int] = Counter()

    def arrive(self, work: Work) -> None:
        """Takes a request: executes, queues or refuses it."""
        if self.running < self.scenario.slots:
            self._start(work)
        elif len(self.waiting) < QUEUE_FOR_EACH_SLOT * self.scenario.slots:
            self.waiting.append(work)
        else:
            work.answer(False, self._load())

    def _start(self, work: Work) -> None:
        self.running += 1
        self.executed[work.request_id] += 1
        took_s = work.work_s * self.speed
        if work.object_key in self.known:
            took_s *= KNOWN_OBJECT_SHARE
        if self.is_fragile and self.scenario.slow.holds(self.timeline.now):
            took_s *= self.scenario.slow_factor
        self._learn(work.object_key)
        self.timeline.after(took_s, lambda: self._finish(work))

    def _finish(self, work: Work) -> None:
        load = self._load()
        self.running -= 1
        work.answer(True, load)
        while self.waiting and self.running < self.scenario.slots:
            waiting = self.waiting.popleft()
            if waiting.deadline <= self.timeline.now:
                waiting.answer(False, self._load())
            else:
                self._start(waiting)

    def _learn(self, object_key: str) -> None:
        self.known[object_key] = None
        self.known.move_to_end(object_key)
        if len(self.known) > MAX_KNOWN_OBJECTS:
            self.known.popitem(last=False)

    def _load(self) -> ReportedLoad:
        return ReportedLoad(
            self.running, len(self.waiting), self.scenario.slots
        )
