"""Baselines: client-side load balancing without sardinewheel."""

import json
import random
from itertools import count
from typing import NamedTuple, Protocol

import gevent
from sardinewheel_entry import headers
from sardinewheel_entry.http_exchange import (
    ConnectionLostError,
    HttpResponse,
    NotSentError,
)

from sardinewheel_testing.calls import AttemptOutcome, CallOutcome, CallResult
from sardinewheel_testing.steering import ActiveCall, AttemptResult, Network

OK = 200
POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 0.5
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
DOWN_RETRY_S = 5.0


class ListedTarget(NamedTuple):
    """A target of the static list that callers are configured with."""

    name: str
    service: str
    address: str
    region: str


class Policy(Protocol):
    """A load balancing policy."""

    def choose(self, targets: list[ListedTarget]) -> ListedTarget:
        """Returns the target for the next request."""
        ...


class RoundRobin:
    """Chooses the targets in turn."""

    def __init__(self):
        self.turn = count()

    def choose(self, targets: list[ListedTarget]) -> ListedTarget:
        """Returns the next target."""
        return targets[next(self.turn) % len(targets)]


class LeastLoad:
    """Chooses the target that last reported the fewest requests in flight.

    Only targets of the own region are polled; ties are broken at random.
    """

    def __init__(
        self,
        *,
        network: Network,
        targets: list[ListedTarget],
        rng: random.Random,
    ):
        self.network = network
        self.rng = rng
        self.loads: dict[str, int] = {}
        for target in targets:
            if target.region == network.region:
                gevent.spawn(self._poll, target)

    def choose(self, targets: list[ListedTarget]) -> ListedTarget:
        """Returns the target with the least reported load."""
        return min(
            targets,
            key=lambda t: (self.loads.get(t.name, 0), self.rng.random()),
        )

    def _poll(self, target: ListedTarget) -> None:
        while True:
            try:
                response = self.network.send(
                    "GET",
                    target.address,
                    "/load",
                    fields={},
                    timeout_s=POLL_TIMEOUT_S,
                )
                if response.status == OK:
                    in_flight = json.loads(response.body)["in_flight"]
                    self.loads[target.name] = in_flight
            except (NotSentError, ConnectionLostError):
                pass
            gevent.sleep(POLL_INTERVAL_S)


class DirectSteering:
    """Callers that send requests directly to targets.

    They retry with exponential backoff until the deadline.

    Attributes:
        network: HTTP client.
        targets: The listed targets.
        policy: Load balancing policy.
        down: Names of the targets that refused a connection or announced
            draining within the last ``DOWN_RETRY_S``.
    """

    def __init__(
        self,
        *,
        network: Network,
        targets: list[ListedTarget],
        policy: Policy,
        rng: random.Random,
    ):
        self.network = network
        self.rng = rng
        self.targets = targets
        self.policy = policy
        self.down: set[str] = set()

    def steer(self, active_call: ActiveCall) -> CallResult:
        """Makes a call, with retries, and returns its result."""
        while active_call.remaining_s > 0:
            target = self.policy.choose(
                self._usable(active_call.call.workload.service)
            )
            request_id = active_call.next_id()
            result = self._send_request(active_call, target, request_id)
            active_call.add(request_id, result)
            if result.outcome is AttemptOutcome.DONE:
                return active_call.to_call_result(CallOutcome.DONE, result)
            is_unresolved = result.outcome in (
                AttemptOutcome.LOST,
                AttemptOutcome.UNKNOWN,
            )
            if is_unresolved and not active_call.call.workload.repeatable:
                return active_call.to_call_result(CallOutcome.UNKNOWN)
            if not active_call.wait(self._backoff_s(len(active_call.attempts))):
                break
        return active_call.to_call_result(CallOutcome.REFUSED)

    def _backoff_s(self, attempts: int) -> float:
        max_backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** (attempts - 1))
        return max_backoff_s * (0.5 + 0.5 * self.rng.random())

    def _usable(self, service: str) -> list[ListedTarget]:
        """Returns the usable targets, those of the own region if any is up."""
        listed = [t for t in self.targets if t.service == service]
        up = [t for t in listed if t.name not in self.down]
        local = [t for t in up if t.region == self.network.region]
        return local or up or listed

    def _send_request(
        self, active_call: ActiveCall, target: ListedTarget, request_id: str
    ) -> AttemptResult:
        try:
            response = self.network.send(
                "POST",
                target.address,
                "/",
                fields=active_call.fields(request_id, active_call.remaining_s),
                body=active_call.body,
                timeout_s=active_call.remaining_s,
                fresh=not active_call.call.workload.repeatable,
            )
        except NotSentError:
            self._mark_down(target)
            return AttemptResult(AttemptOutcome.NOT_SENT)
        except ConnectionLostError as error:
            return AttemptResult(AttemptOutcome.LOST, str(error))
        if headers.DRAINING.lower() in response.headers:
            self._mark_down(target)
        return _result_of_response(response)

    def _mark_down(self, target: ListedTarget) -> None:
        self.down.add(target.name)
        gevent.spawn_later(DOWN_RETRY_S, self.down.discard, target.name)


def _result_of_response(response: HttpResponse) -> AttemptResult:
    if headers.SHED.lower() in response.headers:
        return AttemptResult(AttemptOutcome.NOT_RUN, "target-shed")
    if response.status == OK:
        return AttemptResult(AttemptOutcome.DONE, body=response.body)
    return AttemptResult(AttemptOutcome.UNKNOWN, f"status-{response.status}")
