"""Finds out whether this host reaches targets, by opening connections."""

import random
from collections.abc import Callable

import gevent
from gevent.event import Event

from sardinewheel_gateway import clock
from sardinewheel_gateway.connection_pool import ConnectionPool
from sardinewheel_gateway.errors import NotSentError
from sardinewheel_gateway.http_client import (
    DEFAULT_KEEP_ALIVE_S,
    connect,
)
from sardinewheel_gateway.policy.reachability import (
    PathChange,
    Reachability,
    round_targets,
)
from sardinewheel_gateway.policy.routing_state import RoutingState
from sardinewheel_gateway.policy.targets import Target

CONNECT_TIMEOUT_S = 0.25
# Between two rounds while the path is lost.
ROUND_INTERVAL_S = 0.25
# Silence on a lost path after which open connections count as dead too.
MAX_SILENCE_S = 0.5


class PathMonitor:
    """Decides whether the path of this host to all targets is lost.

    Attributes:
        reachability: What the connections show.
        routing_state: The targets.
        pool: Gets the connections that a round has opened.
        on_change: Called with each path that was lost or regained.
        on_silence: Called once if a lost path stays silent on open
            connections too.
        suspected: Set when a round should decide.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        pool: ConnectionPool,
        rng: random.Random,
        log,
    ):
        self.reachability = Reachability(now=clock.steady())
        self.routing_state = routing_state
        self.pool = pool
        self.rng = rng
        self.log = log
        self.on_change: Callable[[PathChange], None] = lambda _change: None
        self.on_silence: Callable[[], None] = lambda: None
        self.suspected = Event()

    def record_reached(self) -> None:
        """Records that a target accepted a connection or responded."""
        self.reachability.record_reached(now=clock.steady())

    def record_failure(self, target_id: str) -> None:
        """Records that a connection to a target failed."""
        self.reachability.record_failure(target_id)
        count = len(self.routing_state.targets_of_services())
        if self.reachability.is_suspect(count):
            self.suspected.set()

    def run(self) -> None:
        """Runs a round whenever one is needed; never returns."""
        while True:
            self.suspected.wait()
            self.suspected.clear()
            self.run_round()
            if self.reachability.is_lost:
                self._wait_until_regained()

    def run_round(self) -> None:
        """Opens a connection to several targets and records the result."""
        began = clock.steady()
        targets = round_targets(
            self.routing_state.targets_of_services(),
            self.reachability.failed,
            self.rng,
        )
        attempts = [gevent.spawn(self._connect, target) for target in targets]
        gevent.joinall(attempts)
        change = self.reachability.record_round(
            reached=sum(bool(attempt.value) for attempt in attempts),
            tried=len(targets),
            began=began,
            now=clock.steady(),
        )
        if change is not None:
            self._log_change(change)
            self.on_change(change)

    def _wait_until_regained(self) -> None:
        """Runs rounds until the path is back."""
        is_silent = False
        while self.reachability.is_lost:
            gevent.sleep(ROUND_INTERVAL_S)
            self.run_round()
            silent_s = self.reachability.silent_s(now=clock.steady())
            if silent_s >= MAX_SILENCE_S and not is_silent:
                is_silent = True
                self.on_silence()

    def _connect(self, target: Target) -> bool:
        """Returns whether the target accepts a connection, which is kept."""
        record = target.record
        try:
            sock = connect(record.address, timeout_s=CONNECT_TIMEOUT_S)
        except NotSentError as error:
            self.log.debug(
                "path-probe-failed", target=record.target_id, reason=str(error)
            )
            return False
        self.pool.put(record.target_id, sock, keep_s=DEFAULT_KEEP_ALIVE_S)
        return True

    def _log_change(self, change: PathChange) -> None:
        if change.is_lost:
            self.log.warning(
                "target-path-lost",
                failed_targets=change.failed_targets,
                silent_s=change.silent_s,
            )
        else:
            self.log.info("target-path-regained", lost_s=change.silent_s)
