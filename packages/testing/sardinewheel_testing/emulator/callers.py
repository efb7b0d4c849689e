"""Model of callers, which retry once if the refusal has a retry delay."""

from collections.abc import Callable, Iterator

from sardinewheel_testing.emulator.hosts import Attempt, AttemptResult
from sardinewheel_testing.emulator.results import CallResult
from sardinewheel_testing.emulator.scenario import Kind
from sardinewheel_testing.emulator.scheduler import Scheduler

CALLER_DELAY_S = 0.003
MAX_RETRIES = 1
MAX_RETRY_WAIT_SHARE = 1 / 3


class CallModel:
    """A caller's request and its attempts, until a response or its deadline.

    Attributes:
        kind: Kind of request.
        region: Region of the caller.
        object_key: Key of the object that the request is about.
        started_at: Simulated time of the first attempt, in seconds.
        refusals: Number of attempts that were refused.
        has_ended: Whether the call was answered, abandoned or timed out.
    """

    def __init__(
        self,
        kind: Kind,
        region: str,
        object_key: str,
        *,
        scheduler: Scheduler,
        attempt_ids: Iterator[int],
        submit: Callable[[Attempt, str], None],
        on_end: Callable[[CallResult], None],
    ):
        self.kind = kind
        self.region = region
        self.object_key = object_key
        self.scheduler = scheduler
        self.attempt_ids = attempt_ids
        self.submit = submit
        self.on_end = on_end
        self.started_at = 0.0
        self.refusals = 0
        self.has_ended = False

    def send(self) -> None:
        """Sends the request for the first time."""
        self.started_at = self.scheduler.now
        self.scheduler.call_later(
            self.kind.deadline_s, lambda: self._finish(None)
        )
        self._send_attempt()

    def _send_attempt(self) -> None:
        attempt = Attempt(
            next(self.attempt_ids),
            self.kind,
            self.object_key,
            self.started_at + self.kind.deadline_s,
            self._on_result,
        )
        self.scheduler.call_later(
            CALLER_DELAY_S, lambda: self.submit(attempt, self.region)
        )

    def _on_result(self, result: AttemptResult) -> None:
        self.scheduler.call_later(
            CALLER_DELAY_S, lambda: self._handle_result(result)
        )

    def _handle_result(self, result: AttemptResult) -> None:
        if result.is_served:
            self._finish(self.scheduler.now - self.started_at)
            return
        self.refusals += 1
        remaining_s = (
            self.started_at + self.kind.deadline_s - self.scheduler.now
        )
        if self.refusals > MAX_RETRIES or result.retry_after_s is None:
            self._finish(None)
        else:
            wait_s = min(
                result.retry_after_s, remaining_s * MAX_RETRY_WAIT_SHARE
            )
            self.scheduler.call_later(max(0.0, wait_s), self._send_attempt)

    def _finish(self, response_time_s: float | None) -> None:
        if self.has_ended:
            return
        self.has_ended = True
        self.on_end(
            CallResult(
                self.kind,
                self.region,
                self.started_at,
                response_time_s,
                self.refusals,
            )
        )
