"""Faults of other writers, senders and targets: values that nobody can use."""

import time

import cbor2
import gevent
from gevent import socket

from tests.odd_values import (
    ODD_VALUES,
    odd_bytes,
    odd_text,
    with_odd_values,
)
from tests.platform.gateway_process import CONTROL_PORT, INTERNAL_PORT
from tests.platform.soak import callers
from tests.platform.soak.operators import SERVICE

ENTRY_NAMES = ("odd-1", "odd-2", "odd-3")
MESSAGE_KINDS = 18
MAX_BYTES = 1400
ENCODABLE = [x for x in ODD_VALUES if not isinstance(x, str) or x.isascii()]
DATAGRAMS = 40
REQUESTS = 10
MAX_ENTRY_S = 8.0
# The store is away, and then lacks some writes until they come again.
MAX_AWAY_S = 1.0
REWRITE_S = 1.0
MAX_COPY_AGE_S = 6.0


class OddFaults:
    """Injects odd values; the others must not notice.

    Attributes:
        soak: The soak whose store, targets and gateways get them.
        rng: Source of all random choices.
    """

    def __init__(self, soak, rng):
        self.soak = soak
        self.rng = rng

    def kinds(self):
        """Returns the faults, each a function that injects and reverts it."""
        return [
            self.write_odd_entries,
            self.send_odd_datagrams,
            self.send_odd_requests,
            self.let_a_target_write_oddly,
            self.restore_store,
        ]

    def write_odd_entries(self):
        """Writes entries of another writer to the tables of the store."""
        store = self.soak.store
        names = [*ENTRY_NAMES, odd_text(self.rng) or "odd-4"]
        for name in names:
            store.put("servers", name, self._entry())
        domain = f"evacuate/{odd_text(self.rng)}"
        store.put("op", domain, {})
        gevent.sleep(self.rng.uniform(0.5, MAX_ENTRY_S))
        for name in names:
            store.put("servers", name, None)
        store.put("op", domain, None)

    def _entry(self):
        if self.rng.random() < 0.3:
            return odd_bytes(self.rng)
        record = {
            "Service": SERVICE,
            "Address": "127.0.0.1:9",
            "Zone": self.rng.choice(self.soak.domains),
            "CfgVersion": "v1",
            "Slots": 4,
            "OperState": "in_service",
            "ColdLeft": "0ms",
            "Sequence": 1,
            "born": int(time.time() * 1000),
        }
        return with_odd_values(self.rng, record)

    def send_odd_datagrams(self):
        """Sends datagrams that are no messages to one gateway."""
        gateway = self.rng.choice(self.soak.gateways)
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for _ in range(DATAGRAMS):
            kind = self.rng.randrange(MESSAGE_KINDS)
            values = self.rng.choices(ENCODABLE, k=self.rng.randint(0, 6))
            data = odd_bytes(self.rng)
            if self.rng.random() < 0.7:
                data = cbor2.dumps([kind, *values])
            sock.sendto(data[:MAX_BYTES], (gateway.ip, INTERNAL_PORT))
            gevent.sleep(0.02)
        sock.close()

    def send_odd_requests(self):
        """Sends bytes that are no requests to the ports of one gateway."""
        gateway = self.rng.choice(self.soak.gateways)
        for _ in range(REQUESTS):
            sock = callers.connect(gateway)
            if sock is None:
                return
            start = self.rng.choice(
                [b"", b"GET /idempotent/x HTTP/1.1\r\nHost: shop.example\r\n"]
            )
            callers.send_and_close(sock, start + odd_bytes(self.rng))
        self._ask_oddly(gateway)

    def _ask_oddly(self, gateway):
        try:
            sock = socket.create_connection(
                (gateway.ip, CONTROL_PORT), timeout=0.5
            )
        except OSError:
            return
        path = f"/v1/update?operators={'9' * 5000}&targets=x"
        data = f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        callers.send_and_close(sock, data)

    def let_a_target_write_oddly(self):
        """Lets a target write stale refusals, odd headers or cut heads."""
        target = self.rng.choice(self.soak.targets)
        target.fault = self.rng.choice(["stale", "cut-head", "odd"])
        gevent.sleep(self.rng.uniform(0.5, 3.0))
        target.fault = ""

    def restore_store(self):
        """Lets the store return from a copy that is some seconds old."""
        store, checker = self.soak.store, self.soak.checker
        copy = store.copy()
        gevent.sleep(self.rng.uniform(0.5, MAX_COPY_AGE_S))
        if store.mode != "ok":
            return
        checker.store_fault_started()
        store.mode = "reset"
        gevent.sleep(self.rng.uniform(0.2, MAX_AWAY_S))
        lacking = store.return_from(copy)
        store.mode = "ok"
        gevent.sleep(REWRITE_S)
        for (table, key), data in lacking.items():
            store.put(table, key, data)
        checker.store_fault_ended()
