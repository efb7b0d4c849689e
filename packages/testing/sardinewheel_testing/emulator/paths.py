"""Model of a host's path to the targets, which may be lost for some time."""

import random
from collections.abc import Callable

from sardinewheel_gateway.policy.hosts import HostState, HostTable
from sardinewheel_gateway.policy.peer_choice import PeerChoice
from sardinewheel_gateway.policy.reachability import ROUND_TARGETS, Reachability

from sardinewheel_testing.emulator.scenario import SERVICE
from sardinewheel_testing.emulator.scheduler import Scheduler

CONNECT_TIMEOUT_S = 0.3
ROUND_TIMEOUT_S = 0.25
ROUND_INTERVAL_S = 0.25


class PathModel:
    """Path of a host to the targets, judged by the production policy.

    Attributes:
        is_cut: Whether the host reaches no target.
        reachability: What the host knows of it.
        peers: The other hosts, to which requests are forwarded.
        target_count: Number of targets.
        on_regained: Called when the path is regained.
    """

    def __init__(
        self,
        name: str,
        region: str,
        *,
        target_count: int,
        scheduler: Scheduler,
        rng: random.Random,
        on_regained: Callable[[], None],
    ):
        self.is_cut = False
        self.reachability = Reachability(now=0.0)
        self.peers = PeerChoice(HostTable(_state(name, region)), rng)
        self.target_count = target_count
        self.scheduler = scheduler
        self.on_regained = on_regained
        self.has_round = False

    @property
    def state(self) -> HostState:
        """State that the host announces in its next heartbeat."""
        table = self.peers.host_table
        table.own = table.own._replace(
            sequence=table.own.sequence + 1,
            reaches_targets=not self.reachability.is_lost,
        )
        return table.own

    def record_failure(self, target_id: str) -> None:
        """Records a connection to a target that failed."""
        self.reachability.record_failure(target_id)
        if self.reachability.is_suspect(self.target_count):
            self._start_round()

    def record_reached(self) -> None:
        """Records a response of a target."""
        self.reachability.record_reached(now=self.scheduler.now)

    def prefers_peers(self) -> bool:
        """Returns whether the next request goes to another host."""
        share = self.reachability.local_share(now=self.scheduler.now)
        return share < 1.0 and self.peers.rng.random() >= share

    def choose_peer(self) -> str | None:
        """Returns the host to forward a request to, if any."""
        host = self.peers.choose(
            SERVICE,
            home_regions=frozenset(),
            excluded=(),
            now=self.scheduler.now,
        )
        return None if host is None else host.name

    def _start_round(self) -> None:
        if self.has_round:
            return
        self.has_round = True
        began = self.scheduler.now
        self.scheduler.call_later(
            ROUND_TIMEOUT_S, lambda: self._end_round(began)
        )

    def _end_round(self, began: float) -> None:
        self.has_round = False
        change = self.reachability.record_round(
            reached=0 if self.is_cut else ROUND_TARGETS,
            tried=ROUND_TARGETS,
            began=began,
            now=self.scheduler.now,
        )
        if change is not None and not change.is_lost:
            self.on_regained()
        if self.reachability.is_lost:
            self.scheduler.call_later(ROUND_INTERVAL_S, self._start_round)


def _state(name: str, region: str) -> HostState:
    return HostState(
        name=name,
        incarnation=1,
        sequence=0,
        front=name,
        gossip=name,
        control=name,
        domain=region,
        region=region,
        is_ready=True,
    )
