"""Model of a gateway: the production policy and its request path."""

import random
from collections.abc import Callable
from typing import NamedTuple

from sardinewheel_gateway.policy import known_objects, load_news
from sardinewheel_gateway.policy.announcements import Announcement
from sardinewheel_gateway.policy.cold_admission import ColdBound
from sardinewheel_gateway.policy.loads import ReportedLoad
from sardinewheel_gateway.policy.placed import Placed, Refused
from sardinewheel_gateway.policy.placement_request import PlacementRequest
from sardinewheel_gateway.policy.retries import RetryBound
from sardinewheel_gateway.policy.routes import Configuration, Limits, Service
from sardinewheel_gateway.policy.routing_state import (
    Bounds,
    RoutingState,
    TargetResponse,
)
from sardinewheel_gateway.policy.targets import TargetRecord

from sardinewheel_testing.emulator.paths import CONNECT_TIMEOUT_S, PathModel
from sardinewheel_testing.emulator.scenario import SERVICE, Kind, Scenario
from sardinewheel_testing.emulator.scheduler import Scheduler
from sardinewheel_testing.emulator.targets import TargetModel, TargetRequest

BOUNDS = Bounds(RetryBound(0.2, 62.0, 10.0), ColdBound(1.5, 5.0))
LIMITS = Limits(16384, 1_000_000, 3.0, 15.0)
SAME_REGION_DELAY_S = 0.0005
CROSS_REGION_DELAY_S = 0.035
DEFAULT_RETRY_AFTER_S = 0.3
MIN_ATTEMPT_TIME_S = 0.05


class Attempt(NamedTuple):
    """A caller's attempt as a host receives it.

    Attributes:
        request_id: Id of the attempt.
        kind: Kind of request.
        object_key: Key of the object that the request is about.
        deadline: Simulated time at which the caller stops waiting.
        on_result: Called with the result of the attempt.
    """

    request_id: int
    kind: Kind
    object_key: str
    deadline: float
    on_result: Callable[["AttemptResult"], None]


class AttemptResult(NamedTuple):
    """Result of an attempt.

    Attributes:
        is_served: Whether a target executed the request and responded.
        retry_after_s: Seconds after which to retry, if it was not executed.
    """

    is_served: bool
    retry_after_s: float | None = None


class HostModel:
    """Model of a gateway.

    Attributes:
        name: Name of the host.
        region: Region of the host.
        routing_state: State of the production policy on this host.
        hosts: All hosts by name.
        has_failed: Whether the host has failed; it then no longer reports the
            results of its attempts.
        path: Path of the host to the targets.
    """

    def __init__(
        self,
        name: str,
        region: str,
        *,
        scenario: Scenario,
        targets: dict[str, TargetModel],
        scheduler: Scheduler,
        seed: int,
        hosts: dict[str, "HostModel"],
    ):
        self.name = name
        self.region = region
        self.targets = targets
        self.scheduler = scheduler
        self.has_failed = False
        self.hosts = hosts
        self.routing_state = RoutingState(
            host=name,
            domain=region,
            bounds=BOUNDS,
            regions={
                target.region: target.region for target in targets.values()
            },
            rng=random.Random(f"{seed}-{name}"),
        )
        self.path = PathModel(
            name,
            region,
            target_count=len(targets),
            scheduler=scheduler,
            rng=self.routing_state.rng,
            on_regained=self.routing_state.loads.forget_failures,
        )
        routes = tuple(kind.route() for kind in scenario.kinds)
        services = {SERVICE: Service(SERVICE, 400, 0.0, 100.0)}
        self.routing_state.configure(Configuration(1, routes, services, LIMITS))
        for target in targets.values():
            record = TargetRecord(
                target.target_id,
                1,
                SERVICE,
                "127.0.0.1:1",
                target.region,
                scenario.slots,
                False,
                0.0,
            )
            self.routing_state.target_table.put(record, now=0.0)

    def placement_request(
        self, attempt: Attempt, tried: frozenset[str]
    ) -> PlacementRequest:
        """Returns the request to the placement policy for an attempt."""
        route = self.routing_state.route(
            "shop.example", f"/{attempt.kind.name}/x"
        )
        return PlacementRequest(
            service=SERVICE,
            route=route,
            object_key=attempt.object_key,
            is_urgent=self.routing_state.is_urgent(route, SERVICE),
            tried=tried,
            deadline=attempt.deadline,
        )

    def take_load_news(self) -> tuple[bytes, bytes]:
        """Returns what it has observed of targets since the last call."""
        routing_state = self.routing_state
        items = routing_state.loads.news.take()
        objects = routing_state.placer.known_objects.take_unsent()
        now = self.scheduler.now
        return load_news.pack(items, now), known_objects.pack(objects)

    def merge_load_news(self, loads: bytes, objects: bytes) -> None:
        """Applies what another host tells of targets."""
        now = self.scheduler.now
        self.routing_state.loads.merge(loads, now=now)
        self.routing_state.placer.known_objects.merge(objects, now=now)

    def handle(self, attempt: Attempt) -> None:
        """Starts to handle an attempt, which another host may place."""
        if self.path.prefers_peers():
            self._forward(attempt)
        else:
            self.place(attempt)

    def place(self, attempt: Attempt) -> None:
        """Starts to handle an attempt that this host places."""
        self.routing_state.count_request(SERVICE, self.scheduler.now)
        self._place(attempt, frozenset())

    def _forward(self, attempt: Attempt) -> None:
        """Forwards an attempt to a host that reaches targets."""
        name = self.path.choose_peer()
        if name is None:
            self._finish(attempt, AttemptResult(False, DEFAULT_RETRY_AFTER_S))
            return
        peer = self.hosts[name]
        delay_s = network_delay_s(self.region, peer.region)

        def on_result(result: AttemptResult) -> None:
            self.scheduler.call_later(
                delay_s, lambda: self._finish(attempt, result)
            )

        forwarded = attempt._replace(on_result=on_result)
        self.scheduler.call_later(delay_s, lambda: peer.place(forwarded))

    def _place(
        self,
        attempt: Attempt,
        tried: frozenset[str],
        without_permit: frozenset[str] = frozenset(),
    ) -> None:
        now = self.scheduler.now
        if attempt.deadline - now < MIN_ATTEMPT_TIME_S:
            self._finish(attempt, AttemptResult(False, DEFAULT_RETRY_AFTER_S))
            return
        choice = self.routing_state.placer.place(
            self.placement_request(attempt, tried | without_permit), now
        )
        if isinstance(choice, Refused):
            self._finish(attempt, AttemptResult(False, choice.retry_after_s))
        elif choice.limit is not None:
            target_id = choice.target.record.target_id
            admission = self.routing_state.limit_admission
            holders = list(admission.holders(target_id))
            self._acquire(attempt, choice, tried, without_permit, holders)
        else:
            self._send_or_refuse(attempt, choice, tried)

    def _acquire(
        self,
        attempt: Attempt,
        placed: Placed,
        tried: frozenset[str],
        without_permit: frozenset[str],
        holders: list[str],
    ) -> None:
        """Asks the holders for a permit in turn, then tries other targets."""
        now = self.scheduler.now
        target_id = placed.target.record.target_id
        admission = self.routing_state.limit_admission
        if not holders:
            self._place(attempt, tried, without_permit | {target_id})
            return
        is_urgent = self.placement_request(attempt, tried).is_urgent
        holder = self.hosts[holders.pop(0)]
        if holder is not self and admission.ask_wait_s(
            holder.name, target_id, now, is_urgent=is_urgent
        ):
            self._acquire(attempt, placed, tried, without_permit, holders)
            return

        def on_permit() -> None:
            now = self.scheduler.now
            wait_s = holder.routing_state.limit_admission.take(
                target_id, placed.limit, now, is_urgent=is_urgent
            )
            if wait_s == 0.0:
                self._send_or_refuse(attempt, placed, tried)
                return
            admission.record_refusal(
                holder.name,
                target_id,
                is_urgent=is_urgent,
                wait_s=wait_s,
                now=now,
            )
            self._acquire(attempt, placed, tried, without_permit, holders)

        delay_s = 0.0 if holder is self else 2 * SAME_REGION_DELAY_S
        self.scheduler.call_later(delay_s, on_permit)

    def _send_or_refuse(
        self, attempt: Attempt, choice: Placed, tried: frozenset[str]
    ) -> None:
        now = self.scheduler.now
        if tried and not self.routing_state.try_acquire_retry(SERVICE, now):
            self._finish(attempt, AttemptResult(False, DEFAULT_RETRY_AFTER_S))
        else:
            self._send(attempt, choice, tried)

    def _send(
        self, attempt: Attempt, placed: Placed, tried: frozenset[str]
    ) -> None:
        target = self.targets[placed.target.record.target_id]
        load = self.routing_state.loads.of(target.target_id)
        load.in_flight += 1
        sent_at = self.scheduler.now
        self.routing_state.record_dispatch(placed.target, sent_at)
        delay_s = network_delay_s(self.region, target.region)
        if self.path.is_cut:
            self.scheduler.call_later(
                CONNECT_TIMEOUT_S,
                lambda: self._on_connect_timeout(attempt, placed, tried),
            )
            return

        def on_response(
            was_executed: bool, report: ReportedLoad, announcement: Announcement
        ) -> None:
            response = TargetResponse(was_executed, False, report)
            if was_executed:
                took_s = self.scheduler.now + delay_s - sent_at
                route = self.placement_request(attempt, tried).route
                self.routing_state.record_work(route, placed, took_s)
                self.routing_state.record_object(
                    route, placed, attempt.object_key, now=self.scheduler.now
                )
            self.scheduler.call_later(
                delay_s,
                lambda: self._on_response(
                    attempt, placed, tried, response, announcement
                ),
            )

        request = TargetRequest(
            attempt.request_id,
            attempt.object_key,
            attempt.kind.service_time_s,
            attempt.deadline,
            on_response,
        )
        self.scheduler.call_later(delay_s, lambda: target.receive(request))

    def _on_connect_timeout(
        self, attempt: Attempt, placed: Placed, tried: frozenset[str]
    ) -> None:
        """Places an attempt again, at another host if the path is lost."""
        target_id = placed.target.record.target_id
        now = self.scheduler.now
        self.routing_state.loads.of(target_id).in_flight -= 1
        self.routing_state.record_target_failure(placed.target, now)
        self.path.record_failure(target_id)
        if self.path.prefers_peers():
            self._forward(attempt)
        else:
            self._place(attempt, tried, frozenset({target_id}))

    def _on_response(
        self,
        attempt: Attempt,
        placed: Placed,
        tried: frozenset[str],
        response: TargetResponse,
        announcement: Announcement,
    ) -> None:
        target_id = placed.target.record.target_id
        now = self.scheduler.now
        if self.path.is_cut:
            self.routing_state.loads.of(target_id).in_flight -= 1
            return
        self.path.record_reached()
        self.routing_state.record_response(
            placed.target, response, is_error=False, now=now
        )
        self.routing_state.record_announcement(
            placed.target, announcement, now=now
        )
        self.routing_state.loads.of(target_id).in_flight -= 1
        tried |= {target_id}
        route = self.placement_request(attempt, tried).route
        if response.was_executed:
            self._finish(attempt, AttemptResult(True))
        elif len(tried) >= route.max_attempts:
            self._finish(attempt, AttemptResult(False, DEFAULT_RETRY_AFTER_S))
        else:
            self._place(attempt, tried)

    def _finish(self, attempt: Attempt, result: AttemptResult) -> None:
        if not self.has_failed:
            attempt.on_result(result)


def network_delay_s(region: str, other: str) -> float:
    """Returns the one-way network delay in seconds."""
    return SAME_REGION_DELAY_S if region == other else CROSS_REGION_DELAY_S
