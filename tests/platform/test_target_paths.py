"""Callers of a host that reaches no target are served by other hosts."""

import random
import signal
import time

import gevent
import pytest

from tests.platform.fakes import Target, host_number
from tests.platform.load import Load, StallWatch
from tests.platform.soak.callers import connect, exchange, request
from tests.platform.target_paths import CUTS

DOMAINS = ("north-a", "north-a", "north-b", "north-b")
STRANDED = (0, 2)
REQUESTS_PER_S = 40.0
OBJECT_COUNT = 40
CALM_S = 2.0
# Time after a cut from which callers must be served again, of the 4 s that the
# users allow.
CONTACT_S = 4.0
CUT_S = 8.0
MIN_SERVED_RATIO = 2 / 3
# Requests that a check is based on, at least.
MIN_REQUESTS = 40
MAX_REFUSAL_S = 0.5
# Time after the end of a cut in which a host serves by itself again.
RETURN_S = 3.0
GRACE_S = 6.0


class PathLoad(Load):
    """Callers that keep their connections.

    Attributes:
        statuses: Status of each response by number of the host; 0 if there
            was none.
        spans: Beginning and end of each request, at any host.
        stalls: Tells when the callers themselves did not run.
        non_idempotent_ids: Ids of the requests that may run once only.
        idle: Open connections by number of the host.
    """

    requests_per_s = REQUESTS_PER_S

    def __init__(self, gateways):
        super().__init__(gateways, seed=5)
        self.statuses = {gateway.number: [] for gateway in gateways}
        self.idle = {gateway.number: [] for gateway in gateways}
        self.spans = []
        self.stalls = StallWatch()
        self.non_idempotent_ids = set()

    def served_ratio(self, numbers):
        """Returns the share of requests at the given hosts that were served."""
        statuses = [x for number in numbers for x in self.statuses[number]]
        return statuses.count(200) / len(statuses)

    def times_s(self):
        """Returns the seconds that each request took while callers ran."""
        # The watch notes a stall after the responses that it held up.
        gevent.sleep(1.0)
        return [
            ended - began - self.stalls.stalled_s(began, ended)
            for began, ended in self.spans
        ]

    def forget(self):
        """Drops the statuses so far."""
        self.spans.clear()
        for statuses in self.statuses.values():
            statuses.clear()

    def send(self, gateway, request_id):
        """Sends one request, on an idle connection if there is one."""
        idle = self.idle[gateway.number]
        sock = idle.pop() if idle else connect(gateway)
        kind = self.rng.choice(["idempotent", "non_idempotent"])
        key = self.rng.randint(1, OBJECT_COUNT)
        if kind == "non_idempotent":
            self.non_idempotent_ids.add(request_id)
        began = time.monotonic()
        response = exchange(
            sock, request("GET", f"/{kind}/x", request_id, key=key)
        )
        self.spans.append((began, time.monotonic()))
        self.statuses[gateway.number].append(response[0] if response else 0)
        if response and response[1].get("connection", "").lower() != "close":
            idle.append(sock)
        else:
            sock.close()


@pytest.fixture
def group(make_group):
    """Running hosts with relays to four targets, ``targets``.

    ``senders`` has the host that a caller used and the one that sent its
    request to a target, for each request.
    """
    created = make_group(*DOMAINS)
    created.counts = {}
    created.senders = []
    created.targets = [
        Target(
            f"t{number}",
            created.store,
            created.counts,
            service="orders",
            domain=DOMAINS[number],
            rng=random.Random(number),
            on_request=lambda _, request_id, host: created.senders.append(
                (host_number(request_id), host)
            ),
        )
        for number in range(4)
    ]
    created.relay_targets(created.targets)
    created.start()
    yield created
    for target in created.targets:
        target.crash()


@pytest.mark.parametrize("how", CUTS)
def test_callers_of_hosts_that_reach_no_target_are_served(group, how):
    load = PathLoad(group.gateways)
    gevent.sleep(CALM_S)
    for number in STRANDED:
        group.target_paths[number].cut(how)
    gevent.sleep(CONTACT_S)
    load.forget()
    gevent.sleep(CUT_S - CONTACT_S)
    load.task.kill()
    others = set(range(len(DOMAINS))) - set(STRANDED)
    served = load.served_ratio(STRANDED)
    assert served >= MIN_SERVED_RATIO * load.served_ratio(others)
    assert not [
        x for x in load.non_idempotent_ids if group.counts.get(x, 0) > 1
    ]


def test_callers_are_refused_at_once_if_no_host_reaches_targets(group):
    load = PathLoad(group.gateways)
    gevent.sleep(CALM_S)
    for path in group.target_paths:
        path.cut("reset")
    gevent.sleep(CONTACT_S)
    load.forget()
    gevent.sleep(CUT_S - CONTACT_S)
    load.task.kill()
    statuses = {x for statuses in load.statuses.values() for x in statuses}
    assert statuses == {503}
    assert max(load.times_s()) < MAX_REFUSAL_S


def test_hosts_serve_by_themselves_again_after_a_cut(group):
    load = PathLoad(group.gateways)
    gevent.sleep(CALM_S)
    for number in STRANDED:
        group.target_paths[number].cut("reset")
    gevent.sleep(CONTACT_S)
    stranded = [x for x in group.senders[-MIN_REQUESTS:] if x[0] in STRANDED]
    assert stranded
    assert all(used != host for used, host in stranded)
    for number in STRANDED:
        group.target_paths[number].heal()
    gevent.sleep(RETURN_S)
    group.senders.clear()
    load.forget()
    gevent.sleep(CALM_S)
    load.task.kill()
    assert len(group.senders) >= MIN_REQUESTS
    assert all(used == host for used, host in group.senders)
    assert load.served_ratio(range(len(DOMAINS))) == 1.0


def test_a_host_that_stops_loses_nothing_that_was_forwarded_to_it(group):
    load = PathLoad(group.gateways)
    for number in STRANDED:
        group.target_paths[number].cut("reset")
    gevent.sleep(CONTACT_S)
    load.forget()
    group.gateways[1].terminate(signal.SIGTERM)
    gevent.sleep(GRACE_S)
    load.task.kill()
    assert group.gateways[1].popen.poll() == 0
    assert len(load.spans) >= MIN_REQUESTS
    assert load.served_ratio(STRANDED) == 1.0
