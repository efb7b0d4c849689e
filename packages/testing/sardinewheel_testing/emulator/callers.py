"""A model of callers: they return once, when they were told to."""

from collections.abc import Callable, Iterator

from sardinewheel_testing.emulator.figures import Call
from sardinewheel_testing.emulator.hosts import Attempt, Ending
from sardinewheel_testing.emulator.scenario import Kind
from sardinewheel_testing.emulator.timeline import Timeline

CALLER_S = 0.003
RETURNS = 1
RETURN_SHARE = 1 / 3


class CallModel:
    """A caller's request: its attempts, until an answer or its deadline.

    Attributes:
        kind: Its kind.
        region: Region of the caller.
        object_key: Object that it concerns.
        began: When it was first sent, in simulated time.
        refusals: How often it was told to come back.
        has_ended: Whether it is over.
    """

    def __init__(
        self,
        kind: Kind,
        region: str,
        object_key: str,
        *,
        timeline: Timeline,
        numbers: Iterator[int],
        enter: Callable[[Attempt, str], None],
        on_end: Callable[[Call], None],
    ):
        self.kind = kind
        self.region = region
        self.object_key = object_key
        self.timeline = timeline
        self.numbers = numbers
        self.enter = enter
        self.on_end = on_end
        self.began = 0.0
        self.refusals = 0
        self.has_ended = False

    def send(self) -> None:
        """Sends the request for the first time."""
        self.began = self.timeline.now
        self.timeline.after(self.kind.deadline_s, lambda: self._end(None))
        self._attempt()

    def _attempt(self) -> None:
        attempt = Attempt(
            next(self.numbers),
            self.kind,
            self.object_key,
            self.began + self.kind.deadline_s,
            self._answered,
        )
        self.timeline.after(CALLER_S, lambda: self.enter(attempt, self.region))

    def _answered(self, ending: Ending) -> None:
        self.timeline.after(CALLER_S, lambda: self._take(ending))

    def _take(self, ending: Ending) -> None:
        if ending.is_served:
            self._end(self.timeline.now - self.began)
            return
        self.refusals += 1
        left_s = self.began + self.kind.deadline_s - self.timeline.now
        if self.refusals > RETURNS or ending.retry_after_s is None:
            self._end(None)
        else:
            wait_s = min(ending.retry_after_s, left_s * RETURN_SHARE)
            self.timeline.after(max(0.0, wait_s), self._attempt)

    def _end(self, took_s: float | None) -> None:
        if self.has_ended:
            return
        self.has_ended = True
        self.on_end(
            Call(self.kind, self.region, self.began, took_s, self.refusals)
        )
