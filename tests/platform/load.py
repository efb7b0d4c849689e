"""Callers that send requests to gateways at a constant rate."""

import random

import gevent


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
