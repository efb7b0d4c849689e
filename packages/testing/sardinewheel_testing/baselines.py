"""Ways to reach targets without sardinewheel, to compare with."""

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
from sardinewheel_testing.steering import Network, Told, Trail

OK = 200
POLL_S = 1.0
POLL_TIMEOUT_S = 0.5
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
DOWN_S = 5.0


class ListedTarget(NamedTuple):
    """A target as a list of addresses shows it."""

    name: str
    service: str
    address: str
    region: str


class Policy(Protocol):
    """Chooses a target for a request."""

    def choose(self, targets: list[ListedTarget]) -> ListedTarget:
        """Returns one of some targets."""
        ...


class RoundRobin:
    """Uses the listed targets in turn."""

    def __init__(self):
        self.turn = count()

    def choose(self, targets: list[ListedTarget]) -> ListedTarget:
        """Returns the next target."""
        return targets[next(self.turn) % len(targets)]


class LeastLoad:
    """Uses the target that last reported the least in flight."""

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
            gevent.sleep(POLL_S)


class DirectSteering:
    """Callers that send to targets themselves.

    They try again after an exponential backoff, until their deadline.

    Attributes:
        network: Connections to the targets.
        targets: The listed targets.
        policy: Chooses among them.
        down: Targets that failed a moment ago or are leaving.
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

    def steer(self, trail: Trail) -> CallResult:
        """Makes a call and returns what became of it."""
        while trail.left_s > 0:
            target = self.policy.choose(self._usable(trail.call.rate.service))
            request_id = trail.next_id()
            told = self._ask(trail, target, request_id)
            trail.add(request_id, told)
            if told.outcome is AttemptOutcome.DONE:
                return trail.end(CallOutcome.DONE, told)
            is_open = told.outcome in (
                AttemptOutcome.LOST,
                AttemptOutcome.UNKNOWN,
            )
            if is_open and not trail.call.rate.repeatable:
                return trail.end(CallOutcome.UNKNOWN)
            if not trail.wait(self._backoff_s(len(trail.attempts))):
                break
        return trail.end(CallOutcome.REFUSED)

    def _backoff_s(self, attempts: int) -> float:
        longest = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** (attempts - 1))
        return longest * (0.5 + 0.5 * self.rng.random())

    def _usable(self, service: str) -> list[ListedTarget]:
        """Returns the targets of the own region, or of others if none is up."""
        listed = [t for t in self.targets if t.service == service]
        up = [t for t in listed if t.name not in self.down]
        near = [t for t in up if t.region == self.network.region]
        return near or up or listed

    def _ask(self, trail: Trail, target: ListedTarget, request_id: str) -> Told:
        try:
            response = self.network.send(
                "POST",
                target.address,
                "/",
                fields=trail.fields(request_id, trail.left_s),
                body=trail.body,
                timeout_s=trail.left_s,
                fresh=not trail.call.rate.repeatable,
            )
        except NotSentError:
            self._set_down(target)
            return Told(AttemptOutcome.NOT_SENT)
        except ConnectionLostError as error:
            return Told(AttemptOutcome.LOST, str(error))
        if headers.DRAINING.lower() in response.headers:
            self._set_down(target)
        return _told_of(response)

    def _set_down(self, target: ListedTarget) -> None:
        self.down.add(target.name)
        gevent.spawn_later(DOWN_S, self.down.discard, target.name)


def _told_of(response: HttpResponse) -> Told:
    if headers.SHED.lower() in response.headers:
        return Told(AttemptOutcome.NOT_RUN, "target-shed")
    if response.status == OK:
        return Told(AttemptOutcome.DONE, body=response.body)
    return Told(AttemptOutcome.UNKNOWN, f"status-{response.status}")
