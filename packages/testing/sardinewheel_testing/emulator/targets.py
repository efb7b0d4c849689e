"""Model of a target: slots, a bounded queue and an object cache."""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from sardinewheel_gateway.policy.announcements import Announcement
from sardinewheel_gateway.policy.loads import ReportedLoad

from sardinewheel_testing.emulator.scenario import Scenario
from sardinewheel_testing.emulator.scheduler import Scheduler

CACHED_TIME_FACTOR = 0.3
CACHE_CAPACITY = 64
QUEUE_PER_SLOT = 2


class TargetRequest(NamedTuple):
    """A request as a target receives it.

    Attributes:
        request_id: Id of the attempt.
        object_key: Key of the object that the request is about.
        service_time_s: Seconds of execution if the object is not cached.
        deadline: Simulated time at which the caller stops waiting.
        on_response: Called with whether the request was executed, the load of
            the target, and what it announces.
    """

    request_id: int
    object_key: str
    service_time_s: float
    deadline: float
    on_response: Callable[[bool, ReportedLoad, Announcement], None]


class TargetModel:
    """Model of a target.

    Attributes:
        target_id: Id of the target.
        region: Region of the target.
        time_factor: Factor on service times.
        has_slow_span: Whether the slow interval of the scenario applies.
        has_limited_span: Whether the limited interval of the scenario applies.
        executions: Number of executions by request id.
    """

    def __init__(
        self,
        target_id: str,
        region: str,
        *,
        scenario: Scenario,
        scheduler: Scheduler,
        time_factor: float,
        has_slow_span: bool,
        has_limited_span: bool,
    ):
        self.target_id = target_id
        self.region = region
        self.scenario = scenario
        self.scheduler = scheduler
        self.time_factor = time_factor
        self.has_slow_span = has_slow_span
        self.has_limited_span = has_limited_span
        self.running = 0
        self.waiting: deque[TargetRequest] = deque()
        self.cached_objects: OrderedDict[str, None] = OrderedDict()
        self.executions: Counter[int] = Counter()

    def receive(self, request: TargetRequest) -> None:
        """Executes, queues or refuses a request."""
        if self.running < self.scenario.slots:
            self._start(request)
        elif len(self.waiting) < QUEUE_PER_SLOT * self.scenario.slots:
            self.waiting.append(request)
        else:
            self._respond(request, was_executed=False)

    def _respond(self, request: TargetRequest, *, was_executed: bool) -> None:
        request.on_response(was_executed, self._load(), self._announcement())

    def _announcement(self) -> Announcement:
        is_limited = self.scenario.limited.contains(self.scheduler.now)
        if self.has_limited_span and is_limited:
            return Announcement(self.scenario.limit_per_s)
        return Announcement()

    def _start(self, request: TargetRequest) -> None:
        self.running += 1
        self.executions[request.request_id] += 1
        duration_s = request.service_time_s * self.time_factor
        if request.object_key in self.cached_objects:
            duration_s *= CACHED_TIME_FACTOR
        if self.has_slow_span and self.scenario.slow.contains(
            self.scheduler.now
        ):
            duration_s *= self.scenario.slow_factor
        self._cache_object(request.object_key)
        self.scheduler.call_later(duration_s, lambda: self._finish(request))

    def _finish(self, request: TargetRequest) -> None:
        load = self._load()
        self.running -= 1
        request.on_response(True, load, self._announcement())
        while self.waiting and self.running < self.scenario.slots:
            waiting = self.waiting.popleft()
            if waiting.deadline <= self.scheduler.now:
                self._respond(waiting, was_executed=False)
            else:
                self._start(waiting)

    def _cache_object(self, object_key: str) -> None:
        self.cached_objects[object_key] = None
        self.cached_objects.move_to_end(object_key)
        if len(self.cached_objects) > CACHE_CAPACITY:
            self.cached_objects.popitem(last=False)

    def _load(self) -> ReportedLoad:
        return ReportedLoad(
            self.running, len(self.waiting), self.scenario.slots
        )
