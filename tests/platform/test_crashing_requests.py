"""A request that crashes each target that runs it is not sent for ever."""

import random
import time
from typing import NamedTuple

import gevent
import pytest

from tests.platform.fakes import Target
from tests.platform.load import Load
from tests.platform.soak.callers import connect, exchange, request
from tests.platform.soak.crashes import (
    CONTACT_S,
    CRASHES_UNTIL_KNOWN,
    MAX_LATE_ARRIVALS,
    RESTART_S,
    refused_digests,
)

# With tests beside it, fewer of its sound requests are served than its bound.
pytestmark = pytest.mark.serial

DOMAINS = ("north-a", "north-b", "east-a", "east-b")
TARGET_COUNT = 12
REQUESTS_PER_S = 30.0
CRASHING_PER_S = 4.0
OBJECT_COUNT = 40
CALM_S = 1.5
CRASHING_S = 10.0
MIN_SERVED_RATIO = 0.98
MAX_REFUSAL_S = 0.5
POPULAR = "/idempotent/popular"


class Sent(NamedTuple):
    """A request of a caller, with times on the monotonic clock."""

    path: str
    began: float
    took_s: float
    status: int


class CrashLoad(Load):
    """Callers of sound requests, and others that repeat crashing ones.

    Half of the sound requests are alike, the others are all different.

    Attributes:
        crashing: Method and path of each request that crashes targets.
        sent: All requests.
    """

    requests_per_s = REQUESTS_PER_S

    def __init__(self, gateways, crashing):
        super().__init__(gateways, seed=11)
        self.crashing = crashing
        self.sent = []
        self.crash_task = gevent.spawn(self._send_crashing_forever)

    def send(self, gateway, request_id):
        """Sends one sound request."""
        key = self.rng.randint(1, OBJECT_COUNT)
        path = "/idempotent/x"
        if self.rng.random() < 0.5:
            path = f"{path}/{request_id}"
        self._send("GET", path, gateway, request_id, key)

    def stop(self):
        """Sends no further requests and waits for the last responses."""
        self.crash_task.kill()
        super().stop()

    def served_ratio(self, since):
        """Returns the share of sound requests sent since then and served."""
        crashing = {path for _, path in self.crashing}
        statuses = [
            x.status
            for x in self.sent
            if x.began >= since and x.path not in crashing
        ]
        return statuses.count(200) / len(statuses)

    def refusals(self, since):
        """Returns the crashing requests sent since then."""
        crashing = {path for _, path in self.crashing}
        return [x for x in self.sent if x.began >= since and x.path in crashing]

    def _send_crashing_forever(self):
        gevent.sleep(CALM_S)
        while True:
            for method, path in self.crashing:
                self.number += 1
                gateway = self.rng.choice(self.gateways)
                request_id = f"{self.number}-{gateway.number}"
                gevent.spawn(self._send, method, path, gateway, request_id, 7)
            gevent.sleep(self.rng.expovariate(CRASHING_PER_S))

    def _send(self, method, path, gateway, request_id, key):
        began = time.monotonic()
        sock = connect(gateway)
        response = exchange(sock, request(method, path, request_id, key=key))
        sock.close()
        took_s = time.monotonic() - began
        status = response[0] if response else 0
        self.sent.append(Sent(path, began, took_s, status))


class CrashGroup:
    """Running hosts, and targets that certain requests crash.

    Attributes:
        crashes: Time and path of the request of each crash.
        arrivals: Time and path of each request at a target.
    """

    def __init__(self, group):
        self.group = group
        self.crashes = []
        self.arrivals = []
        self.targets = [
            Target(
                f"t{number}",
                group.store,
                {},
                service="orders",
                domain=DOMAINS[number % len(DOMAINS)],
                rng=random.Random(number),
                on_request=lambda *_: None,
            )
            for number in range(TARGET_COUNT)
        ]
        group.start()

    def run(self, crashing, how="close"):
        """Returns the load, and the time from which rules must hold."""
        paths = [path for _, path in crashing]
        for target in self.targets:
            target.crash_paths = frozenset(paths) - {POPULAR}
            target.crash_how = how
            target.on_crash = self._on_crash
            target.on_arrival = self._on_arrival
        load = CrashLoad(self.group.gateways, crashing)
        gevent.sleep(CALM_S + CRASHING_S)
        load.stop()
        known_at = max(self._third_crash(path) for _, path in crashing)
        assert known_at
        return load, known_at + CONTACT_S

    def late_arrivals(self, path):
        """Returns the arrivals of a request that the users do not allow.

        A request that is refused before its third crash has none.
        """
        third = self._third_crash(path)
        if not third:
            return []
        times = [x for x, arrived in self.arrivals if arrived == path]
        return [x for x in times if x > third + CONTACT_S]

    def refused_digests(self):
        """Returns the digests of the requests that any host refuses."""
        return refused_digests(self.group.gateways)

    def _third_crash(self, path):
        times = [at for at, crashed in self.crashes if crashed == path]
        if len(times) < CRASHES_UNTIL_KNOWN:
            return 0.0
        return times[CRASHES_UNTIL_KNOWN - 1]

    def _on_crash(self, target, path):
        self.crashes.append((time.monotonic(), path))
        gevent.spawn_later(RESTART_S, target.start)

    def _on_arrival(self, target, path, _host):
        self.arrivals.append((time.monotonic(), path))


@pytest.fixture
def crash_group(make_group):
    created = CrashGroup(make_group(*DOMAINS))
    yield created
    for target in created.targets:
        target.crash()


@pytest.mark.parametrize(
    ("crashing", "how"),
    [
        ([("GET", "/idempotent/crash")], "close"),
        ([("POST", "/non_idempotent/crash")], "close"),
        ([("GET", "/idempotent/a"), ("GET", "/idempotent/b")], "close"),
        ([("GET", "/idempotent/crash")], "silent"),
    ],
    ids=["idempotent", "not-idempotent", "two", "silent"],
)
def test_a_request_that_crashes_its_targets_is_refused(
    crash_group, crashing, how
):
    load, since = crash_group.run(crashing, how)
    late = [crash_group.late_arrivals(path) for _, path in crashing]
    assert all(len(times) <= MAX_LATE_ARRIVALS for times in late)
    assert len(crash_group.refused_digests()) == len(crashing)
    assert load.served_ratio(since) >= MIN_SERVED_RATIO
    refusals = load.refusals(since)
    assert {x.status for x in refusals} == {503}
    assert max(x.took_s for x in refusals) < MAX_REFUSAL_S


def test_sound_requests_are_not_refused_while_targets_crash_by_themselves(
    crash_group,
):
    load = CrashLoad(crash_group.group.gateways, [("GET", POPULAR)])
    rng = random.Random(3)
    end = time.monotonic() + CRASHING_S
    while time.monotonic() < end:
        gevent.sleep(1.0)
        target = rng.choice([x for x in crash_group.targets if x.server])
        target.crash()
        gevent.spawn_later(RESTART_S, target.start)
    load.stop()
    assert not crash_group.refused_digests()
    assert load.served_ratio(0.0) >= MIN_SERVED_RATIO


def test_a_sound_request_beside_a_crashing_one_is_not_refused(crash_group):
    beside = ("GET", POPULAR)
    load, _ = crash_group.run([("GET", "/idempotent/crash"), beside])
    assert len(crash_group.refused_digests()) == 1
    served = [x.status for x in load.sent if x.path == POPULAR]
    assert set(served[len(served) // 2 :]) == {200}
