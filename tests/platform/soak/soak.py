"""One run: the processes, the stand-ins, the faults, and the verdict."""

import random
import signal
import time

import gevent

from tests.platform.gateway_process import (
    CONTROL,
    INTERNAL,
    GatewayProcess,
)
from tests.platform.relays import DatagramRelay, Link
from tests.platform.soak.callers import Callers
from tests.platform.soak.faults import Faults
from tests.platform.soak.operators import SERVICE, Operators
from tests.platform.soak.promises import AFTER_REQUESTS, Promises
from tests.platform.stand_ins import Store, Target

START_TIMEOUT_S = 60.0
LONGEST_FAULT_S = 8.0
SETTLE_S = 6.0
AFTER_LONGEST_S = 20.0
WATCH_ENDS_S = 0.2
PEAK_MEMORY = "VmHWM:"


class Soak:
    """One run.

    Attributes:
        promises: What was seen, and what broke a promise.
        store: The store.
        link: The way to the store.
        targets: The targets.
        gateways: The gateways, processes of their own.
        domains: Failure domains.
        datagrams: The relay of datagrams to each gateway.
        control_links: The relay of connections of other gateways to each.
        peak_kb: Largest memory of a gateway at the end, in KB.
    """

    def __init__(
        self, seed, folder, *, gateways=3, regions=1, targets=6, callers=8
    ):
        self.rng = random.Random(seed)
        self.promises = Promises()
        self.store = Store()
        self.link = Link(self.store.address)
        self.operators = Operators(self.store, time.monotonic)
        self.domains = [
            f"{region}-{letter}"
            for region in _regions(regions)
            for letter in "ab"
        ]
        self.targets = [
            Target(
                f"t{n}",
                self.store,
                self.promises.executed,
                service=SERVICE,
                domain=self.domains[n % len(self.domains)],
                rng=self.rng,
                on_request=self._reached,
            )
            for n in range(targets)
        ]
        self.gateways = [
            GatewayProcess(
                n,
                self.link.address,
                folder,
                domain=self.domains[n % len(self.domains)],
                domains=self.domains,
            )
            for n in range(gateways)
        ]
        self.datagrams = [
            DatagramRelay((x.relay_ip, INTERNAL), (x.ip, INTERNAL), self.rng)
            for x in self.gateways
        ]
        self.control_links = [
            Link(f"{x.ip}:{CONTROL}", (x.relay_ip, CONTROL))
            for x in self.gateways
        ]
        self.callers = Callers(self.gateways, self.promises, self.rng)
        self.caller_count = callers
        self.peak_kb = 0

    def run(self, seconds):
        """Plays faults for a while, lets all settle, and checks."""
        faults = Faults(self, self.rng)
        try:
            for gateway in self.gateways:
                gateway.start()
            watches = [
                gevent.spawn(self.promises.watch_stalls),
                gevent.spawn(self._watch_ends),
            ]
            self._wait_until_ready()
            callers = [
                gevent.spawn(self.callers.call_forever, n)
                for n in range(self.caller_count)
            ]
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                gevent.spawn(faults.bring_one)
                gevent.sleep(self.rng.uniform(0.3, 1.5))
            self._settle()
            self.callers.is_over = True
            gevent.joinall(callers, timeout=10)
            gevent.killall(watches)
            self.promises.check_end()
        finally:
            self._end_all()
        return self.promises.findings

    def start_target(self, target):
        """Starts a target again."""
        target.start()
        self.promises.target_arrives(target.name)

    def _reached(self, target, request_id):
        gateway = self.gateways[int(request_id.rpartition("-")[2])]
        self.promises.reached(
            target, request_id, gateway, self.operators.evacuated
        )

    def _wait_until_ready(self):
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all(g.is_ready() for g in self.gateways):
            if time.monotonic() > deadline:
                raise AssertionError("the gateways did not become ready")
            gevent.sleep(0.1)

    def _watch_ends(self):
        """Notes for ever when a gateway ended by itself."""
        while True:
            for gateway in self.gateways:
                gateway.watch_processor()
                if gateway.popen.poll() is not None and not gateway.is_ending:
                    status = gateway.popen.returncode
                    self.promises.found(f"{gateway.name} ended: {status}")
                    gateway.start()
            gevent.sleep(WATCH_ENDS_S)

    def _settle(self):
        """Ends all faults and waits until everything should be well."""
        gevent.sleep(LONGEST_FAULT_S)
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            if gateway.popen.poll() is not None:
                gateway.start()
        for target in self.targets:
            target.fault = ""
            self.start_target(target)
        gevent.sleep(SETTLE_S)
        self.callers.faults_are_over = True
        end = time.monotonic() + AFTER_LONGEST_S
        while len(self.promises.after_counted()) < AFTER_REQUESTS:
            if time.monotonic() > end:
                break
            gevent.sleep(0.5)
        self.peak_kb = max(gateway.peak_kb() for gateway in self.gateways)

    def _end_all(self):
        for gateway in self.gateways:
            gateway.end_now()
        for relay in self.datagrams:
            relay.close()
        for server in (self.store, self.link, *self.control_links):
            server.server.stop()


def _regions(count):
    return ("north", "east", "south", "west")[:count]
