"""Finds out whether a target ended while it ran requests of this host.

A connection that ends before a response tells little: the target may have
ended, lost one response, or closed one connection. A new connection decides.
One that fails shows that the target has ended, provided that this host still
reaches others: it may be this host's own path that is lost.
"""

from collections.abc import Callable
from typing import NamedTuple

import gevent

from sardinewheel_gateway import clock
from sardinewheel_gateway.errors import NotSentError
from sardinewheel_gateway.http_client import DEFAULT_KEEP_ALIVE_S, connect
from sardinewheel_gateway.path_monitor import PathMonitor
from sardinewheel_gateway.policy.crash_suspects import Run, TargetStart
from sardinewheel_gateway.policy.routing_state import RoutingState
from sardinewheel_gateway.policy.targets import Target

CONNECT_TIMEOUT_S = 0.25
# Time in which another target has to be reached, for the path to be sound.
PATH_TIMEOUT_S = 1.0
PATH_CHECK_INTERVAL_S = 0.02
MAX_ENDED = 256
MAX_LOGGED_DIGESTS = 16


class LostRun(NamedTuple):
    """A request whose response was lost.

    Attributes:
        digest: Digest of the request.
        began: Time at which it was sent, on the monotonic clock.
        ended: Time at which the target was last known to run.
    """

    digest: str
    began: float
    ended: float


class TargetEndMonitor:
    """Tells which requests were running when a target ended.

    Attributes:
        routing_state: The targets.
        path_monitor: Whether this host reaches targets at all.
        on_loss: Called with each run that ended with its target.
        pending: Runs that were lost at a target which is being checked.
        ended: Targets that have ended, the latest last.
    """

    def __init__(
        self, routing_state: RoutingState, path_monitor: PathMonitor, log
    ):
        self.routing_state = routing_state
        self.path_monitor = path_monitor
        self.log = log
        self.on_loss: Callable[[str, Run], None] = lambda _digest, _run: None
        self.pending: dict[TargetStart, list[LostRun]] = {}
        self.ended: dict[TargetStart, None] = {}

    def record_lost(self, target: Target, lost: LostRun) -> None:
        """Records that a request got no response from a target.

        One that is about to leave, or has left, ends by plan.
        """
        if not self.routing_state.target_table.is_expected_to_run(target):
            return
        start = TargetStart.of(target.record)
        if start in self.ended:
            self._report(start, lost)
        elif start in self.pending:
            self.pending[start].append(lost)
        else:
            self.pending[start] = [lost]
            gevent.spawn(self._check, target, start)

    def _check(self, target: Target, start: TargetStart) -> None:
        """Reports the lost runs of a target if it has ended."""
        try:
            reason = self._connect_error(target)
            has_ended = bool(reason) and self._reaches_others(start)
        finally:
            runs = self.pending.pop(start)
        if not has_ended:
            self.log.debug(
                "target-end-not-shown", target=start.target_id, reason=reason
            )
            return
        self.ended[start] = None
        if len(self.ended) > MAX_ENDED:
            del self.ended[next(iter(self.ended))]
        digests = [run.digest for run in runs]
        self.log.warning(
            "target-ended",
            target=start.target_id,
            reason=reason,
            lost=len(runs),
            digests=",".join(digests[:MAX_LOGGED_DIGESTS]),
        )
        for run in runs:
            self._report(start, run)

    def _connect_error(self, target: Target) -> str:
        """Returns why a target accepts no connection; empty if it does."""
        record = target.record
        try:
            sock = connect(record.address, timeout_s=CONNECT_TIMEOUT_S)
        except NotSentError as error:
            return str(error)
        self.path_monitor.record_reached()
        self.path_monitor.pool.put(
            record.target_id, sock, keep_s=DEFAULT_KEEP_ALIVE_S
        )
        return ""

    def _reaches_others(self, start: TargetStart) -> bool:
        """Returns whether another target was reached since the losses."""
        lost_at = max(run.ended for run in self.pending[start])
        reachability = self.path_monitor.reachability
        deadline = clock.steady() + PATH_TIMEOUT_S
        while clock.steady() < deadline and not reachability.is_lost:
            if reachability.reached_at > lost_at:
                return True
            gevent.sleep(PATH_CHECK_INTERVAL_S)
        return False

    def _report(self, start: TargetStart, lost: LostRun) -> None:
        self.on_loss(lost.digest, Run(start, lost.began, lost.ended))
