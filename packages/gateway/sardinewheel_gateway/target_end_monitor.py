"""Finds out whether a target ended while it ran requests of this host.

A connection that ends before a response tells little: the target may have
ended, lost one response, or closed one connection. A new connection decides.
One that fails shows that the target has ended, provided that this host still
reaches others: it may be this host's own path that is lost. Where that shows
nothing, as all targets have ended or something between accepts connections for
them, the registry does later: the target is gone, or has started again.
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
# Records of targets that ended expire, or are written anew, within this time.
RESOLUTION_TIMEOUT_S = 15.0
MAX_TARGETS = 256
# Lost runs that are kept for one target.
MAX_UNRESOLVED = 64
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
        unresolved: Runs that were lost at a target whose end was not shown,
            the latest last.
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
        self.unresolved: dict[TargetStart, list[LostRun]] = {}
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

    def record_registry_end(self, target_id: str) -> None:
        """Records that a target's record is gone, or that it started again."""
        earliest = clock.steady() - RESOLUTION_TIMEOUT_S
        for start in [x for x in self.unresolved if x.target_id == target_id]:
            runs = self.unresolved.pop(start)
            recent = [run for run in runs if run.ended >= earliest]
            if recent:
                self._end(start, recent, "registry")

    def _check(self, target: Target, start: TargetStart) -> None:
        """Reports the lost runs of a target if it has ended."""
        try:
            reason = self._connect_error(target)
            has_ended = bool(reason) and self._reaches_others(start)
        finally:
            runs = self.pending.pop(start)
        if has_ended:
            self._end(start, runs, reason)
            return
        self.log.debug(
            "target-end-not-shown", target=start.target_id, reason=reason
        )
        runs = self.unresolved.pop(start, []) + runs
        self.unresolved[start] = runs[-MAX_UNRESOLVED:]
        _drop_first(self.unresolved)

    def _end(
        self, start: TargetStart, runs: list[LostRun], reason: str
    ) -> None:
        """Reports the runs that were lost when a target ended."""
        self.ended[start] = None
        _drop_first(self.ended)
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


def _drop_first(entries: dict) -> None:
    """Drops the oldest entry if there are too many."""
    if len(entries) > MAX_TARGETS:
        del entries[next(iter(entries))]
