"""A planned stop passes on no request that its grace period would cut."""

import random
import signal
import time

import gevent
import pytest

from tests.platform.fakes import Target, host_number
from tests.platform.soak.callers import connect, exchange
from tests.platform.soak.operators import configuration

DOMAINS = ("north-a", "north-a", "north-b", "north-b")
GRACE_S = 6.0
# A host refuses new requests from here on, in seconds after the signal.
ACCEPT_S = 2.5
# Callers wait longer than a grace period.
CALLER_TIMEOUT_MS = 20_000
LONG_WORK_S = 3.5
BODY = b"x" * 2000
MAX_REFUSAL_S = 0.5
UPLOADS = 8
REQUESTS_PER_S = 30.0


class StoppingGroup:
    """Hosts with targets whose work takes a given time.

    Attributes:
        group: The hosts.
        work_s: Seconds that targets take for each request.
        execution_counts: Executions of each request id.
        begun_at: Time at which each request began to run.
    """

    def __init__(self, group):
        self.group = group
        self.work_s = 0.0
        self.execution_counts = {}
        self.begun_at = {}
        self.targets = [
            Target(
                f"t{number}",
                group.store,
                self.execution_counts,
                service="orders",
                domain=domain,
                rng=random.Random(number),
                on_request=self._work,
            )
            for number, domain in enumerate(DOMAINS)
        ]
        settings = configuration(2)
        for route in settings["Routes"]:
            route["Timeout"] = "60000ms"
        group.store.put("op", "config", settings)

    def _work(self, _target, request_id, _host):
        self.begun_at[request_id] = time.monotonic()
        gevent.sleep(self.work_s)

    def learn_work(self, gateways):
        """Sends requests from which the hosts learn the time of work."""
        calls = [
            gevent.spawn(exchange, connect(gateway), head(f"l-{n}-{number}"))
            for n in range(4)
            for number, gateway in enumerate(gateways)
        ]
        gevent.joinall(calls)
        assert [call.value[0] for call in calls] == [200] * len(calls)

    def close(self):
        """Ends the targets."""
        for target in self.targets:
            target.crash()


@pytest.fixture
def stopping(make_group):
    created = StoppingGroup(make_group(*DOMAINS))
    created.group.start()
    created.group.wait_for_log("version=2", 5.0)
    yield created
    created.close()


def head(request_id, *, body_bytes=0, remaining_ms=CALLER_TIMEOUT_MS):
    """Returns the encoded head of a request that may run once only."""
    return (
        "POST /non_idempotent/x HTTP/1.1\r\nHost: shop.example\r\n"
        f"Sardinewheel-Attempt-Id: {request_id}\r\n"
        f"Sardinewheel-Time-Remaining: {remaining_ms}\r\n"
        f"Content-Length: {body_bytes}\r\n\r\n"
    ).encode()


def status_of(response):
    return response[0] if response else 0


def test_a_body_that_ends_late_in_the_grace_is_refused_and_not_cut(stopping):
    stopping.work_s = 1.0
    gateway = stopping.group.gateways[0]
    uploads = {f"u-{n}-0": connect(gateway) for n in range(UPLOADS)}
    for request_id, sock in uploads.items():
        sock.sendall(head(request_id, body_bytes=len(BODY)) + BODY[:1000])
    gevent.sleep(0.3)
    gateway.terminate(signal.SIGTERM)
    began = time.monotonic()
    calls = {}
    for number, (request_id, sock) in enumerate(uploads.items()):
        # The last ones end when less is left than the work takes.
        gevent.sleep(max(0.0, began + 0.3 + number * 0.65 - time.monotonic()))
        calls[request_id] = gevent.spawn(exchange, sock, BODY[1000:])
    statuses = {x: status_of(call.get()) for x, call in calls.items()}
    assert gateway.popen.wait(GRACE_S) == 0
    served = [x for x, status in statuses.items() if status == 200]
    assert set(statuses.values()) == {200, 503}
    assert stopping.execution_counts == dict.fromkeys(served, 1)


def test_work_longer_than_the_grace_has_left_is_refused_at_once(stopping):
    stopping.work_s = LONG_WORK_S
    gateway = stopping.group.gateways[0]
    stopping.learn_work([gateway])
    gateway.terminate(signal.SIGTERM)
    gevent.sleep(ACCEPT_S - 0.5)
    began = time.monotonic()
    response = exchange(connect(gateway), head("late-0"))
    assert status_of(response) == 503
    assert time.monotonic() - began < MAX_REFUSAL_S
    assert "late-0" not in stopping.execution_counts


def test_work_that_ends_within_the_grace_is_served(stopping):
    stopping.work_s = 0.5
    gateway = stopping.group.gateways[0]
    stopping.learn_work([gateway])
    gateway.terminate(signal.SIGTERM)
    gevent.sleep(ACCEPT_S - 0.5)
    response = exchange(connect(gateway), head("late-0"))
    assert status_of(response) == 200


@pytest.mark.parametrize(
    ("body_bytes", "sent_bytes", "status"),
    # A target may have run a request whose first part was passed on.
    [(2000, 1000, 503), (200_000, 100_000, 502)],
)
def test_bodies_that_never_end_get_a_response_before_the_process_ends(
    stopping, body_bytes, sent_bytes, status
):
    gateway = stopping.group.gateways[0]
    sock = connect(gateway)
    sock.sendall(head("u-0", body_bytes=body_bytes) + b"x" * sent_bytes)
    gevent.sleep(0.3)
    gateway.terminate(signal.SIGTERM)
    assert status_of(exchange(sock, b"x")) == status
    assert gateway.popen.wait(GRACE_S) == 0
    assert stopping.execution_counts == {}


@pytest.fixture
def stranded(make_group):
    """Hosts of which the first reaches no target, so that it forwards."""
    created = StoppingGroup(make_group(*DOMAINS))
    created.group.relay_targets(created.targets)
    created.group.start()
    created.group.wait_for_log("version=2", 5.0)
    yield created
    created.close()


def test_requests_that_hosts_forward_to_one_that_stops_are_not_cut(stranded):
    stranded.work_s = LONG_WORK_S
    first, *others = stranded.group.gateways
    stranded.learn_work([first, *others])
    stranded.group.target_paths[0].cut("reset")
    calls = {}
    for number in range(20):
        request_id = f"f-{number}-{first.number}"
        calls[request_id] = gevent.spawn(
            exchange, connect(first), head(request_id)
        )
        gevent.sleep(0.15)
        if number in (6, 10):
            others[number // 5 - 1].terminate(signal.SIGTERM)
    statuses = {x: status_of(call.get()) for x, call in calls.items()}
    assert set(statuses.values()) <= {200, 503}
    assert list(statuses.values()).count(200) >= len(statuses) // 2
    for request_id, count in stranded.execution_counts.items():
        assert count == 1
        assert request_id.startswith("l-") or statuses[request_id] == 200


def test_several_hosts_that_stop_cut_no_request(stopping):
    stopping.work_s = 1.2
    stopping.learn_work(stopping.group.gateways)
    rng = random.Random(7)
    began = time.monotonic()
    calls, stopped = {}, []
    while time.monotonic() < began + GRACE_S:
        if len(stopped) < 2 and time.monotonic() > began + 1.0 * len(stopped):
            gateway = stopping.group.gateways[len(stopped)]
            gateway.terminate(signal.SIGTERM)
            stopped.append(gateway)
        gateway = rng.choice(stopping.group.gateways)
        request_id = f"s-{len(calls)}-{gateway.number}"
        sock = connect(gateway)
        if sock is not None:
            calls[request_id] = gevent.spawn(_upload, sock, request_id, rng)
        gevent.sleep(rng.expovariate(REQUESTS_PER_S))
    gevent.joinall(list(calls.values()))
    for request_id, call in calls.items():
        was_run = request_id in stopping.execution_counts
        host = host_number(request_id)
        assert not was_run or status_of(call.value) == 200, (request_id, host)
    statuses = [status_of(call.value) for call in calls.values()]
    assert statuses.count(200) > len(statuses) // 2


def _upload(sock, request_id, rng):
    """Sends a request whose body takes up to three seconds."""
    try:
        sock.sendall(head(request_id, body_bytes=len(BODY)) + BODY[:1000])
    except OSError:
        return None
    gevent.sleep(rng.uniform(0.0, 3.0))
    return exchange(sock, BODY[1000:])
