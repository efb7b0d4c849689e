"""Several gateway processes, each with a relay of its own to the store."""

import random

import gevent

from tests.platform.fakes import Store
from tests.platform.gateway_process import (
    CONTROL_PORT,
    INTERNAL_PORT,
    GatewayProcess,
)
from tests.platform.relays import (
    ConnectionRelay,
    DatagramRelay,
    host_relays,
)
from tests.platform.soak.operators import configuration
from tests.platform.target_paths import TargetPath

START_TIMEOUT_S = 30.0


class GatewayGroup:
    """Gateways with a fake store.

    Attributes:
        store: Fake store.
        store_relays: Relay between each gateway and the store.
        gateways: Gateway processes.
        datagram_relays: Relay of the datagrams to each gateway.
        control_relays: Relay of other gateways' connections to each gateway.
        peer_relays: Relay of the requests that other gateways forward to each
            gateway.
        target_paths: Path of each gateway to the targets, if they are relayed.
    """

    def __init__(self, folder, domains):
        self.store = Store()
        self.store.put("op", "config", configuration(1))
        self.store_relays = [
            ConnectionRelay(self.store.address) for _ in domains
        ]
        all_domains = sorted(set(domains))
        self.gateways = [
            GatewayProcess(
                n, relay.address, folder, domain=domain, domains=all_domains
            )
            for n, (relay, domain) in enumerate(
                zip(self.store_relays, domains, strict=True)
            )
        ]
        self.peer_relays = host_relays(self.gateways, INTERNAL_PORT)
        rng = random.Random(1)
        self.datagram_relays = [
            DatagramRelay(
                (x.relay_ip, INTERNAL_PORT), (x.ip, INTERNAL_PORT), rng
            )
            for x in self.gateways
        ]
        self.control_relays = host_relays(self.gateways, CONTROL_PORT)

        self.target_paths = []

    def relay_targets(self, targets):
        """Puts relays between the gateways and targets, before the start."""
        for gateway in self.gateways:
            gateway.has_target_relays = True
            path = TargetPath(gateway)
            for target in targets:
                path.add(target)
            self.target_paths.append(path)

    def start(self):
        """Starts all and waits until they are ready."""
        for gateway in self.gateways:
            gateway.start()
        self.wait_until_ready()

    def wait_until_ready(self):
        """Waits until all are ready."""
        with gevent.Timeout(START_TIMEOUT_S):
            while not all(x.is_ready() for x in self.gateways):
                gevent.sleep(0.05)

    def wait_for_log(self, text, timeout_s):
        """Waits until all logs contain a text."""
        with gevent.Timeout(timeout_s):
            while not all(
                text in x.log_path.read_text() for x in self.gateways
            ):
                gevent.sleep(0.05)

    def failed_tasks(self):
        """Returns the lines of all logs that tell of a failure of the code."""
        return [
            line
            for gateway in self.gateways
            for line in gateway.log_path.read_text().splitlines()
            if "event=task-failed" in line or "event=handler-failed" in line
        ]

    def close(self):
        """Stops the processes and servers."""
        for gateway in self.gateways:
            gateway.kill_if_running()
        for relay in (*self.datagram_relays, *self.target_paths):
            relay.close()
        for server in (
            self.store,
            *self.store_relays,
            *self.control_relays,
            *self.peer_relays,
        ):
            server.server.stop()
