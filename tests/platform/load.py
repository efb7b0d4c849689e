"""Callers that send requests to gateways at a constant rate."""

import random
import time

import gevent

from tests.platform.soak.callers import connect, exchange, request

STALL_CHECK_INTERVAL_S = 0.02
MIN_STALL_S = 0.1


class StallWatch:
    """Records when this process, and so each caller in it, did not run.

    Attributes:
        spans: Beginning and end of each stall.
    """

    def __init__(self):
        self.spans = []
        self.task = gevent.spawn(self._watch_forever)

    def stalled_s(self, began, ended):
        """Returns the seconds of a span in which this process did not run."""
        return sum(
            max(0.0, min(ended, until) - max(began, since))
            for since, until in self.spans
        )

    def _watch_forever(self):
        while True:
            began = time.monotonic()
            gevent.sleep(STALL_CHECK_INTERVAL_S)
            ended = time.monotonic()
            if ended - began > STALL_CHECK_INTERVAL_S + MIN_STALL_S:
                self.spans.append((began, ended))


class Load:
    """Sends requests to randomly chosen gateways until stopped.

    Attributes:
        gateways: The gateways.
        rng: Source of all random choices.
        number: Number of requests sent so far.
        task: Greenlet that sends them.
    """

    requests_per_s = 0.0

    def __init__(self, gateways, *, seed):
        self.gateways = gateways
        self.rng = random.Random(seed)
        self.number = 0
        self.task = gevent.spawn(self._send_forever)

    def send(self, gateway, request_id):
        """Sends one request to a gateway."""
        raise NotImplementedError

    def stop(self):
        """Sends no further requests and waits for the last responses."""
        self.task.kill()
        gevent.sleep(1.0)

    def _send_forever(self):
        while True:
            self.number += 1
            gateway = self.rng.choice(self.gateways)
            request_id = f"{self.number}-{gateway.number}"
            gevent.spawn(self.send, gateway, request_id)
            gevent.sleep(self.rng.expovariate(self.requests_per_s))


class StatusLoad(Load):
    """Callers that open a connection for each request.

    Attributes:
        object_count: Number of objects that the requests concern.
        statuses: Status of each response; 0 if there was none.
    """

    object_count = 40

    def __init__(self, gateways, *, requests_per_s, seed=3):
        self.requests_per_s = requests_per_s
        self.statuses = []
        super().__init__(gateways, seed=seed)

    def send(self, gateway, request_id):
        """Sends one request."""
        sock = connect(gateway)
        key = self.rng.randint(1, self.object_count)
        data = request("GET", "/idempotent/x", request_id, key=key)
        response = exchange(sock, data)
        sock.close()
        self.statuses.append(response[0] if response else 0)
