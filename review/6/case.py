"""Faulty workers, some of whose answers never end, in chunks of one byte."""

import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.append(str(HERE.parent))

import standins_2 as standins  # noqa: E402

WORKERS_PER_ZONE = 4
REQUESTS_PER_S = 25.0
PLAY_S = 30.0
WORK_S = 0.05
TIMEOUT_S = 1.5
LATE_S = 0.5
# Deadlines of the two kinds of request, which come by turns.
DEADLINES_MS = {"lists": 8_000, "status": 3_000}
# Half of the workers spoil one in 50 of their answers to lists.
GARBLING_SHARE = 0.5
ENDLESS_EVERY = 50
ENDLESS_BLOCK = b"1\r\nz\r\n" * 4096
PROBE_INTERVAL_S = 0.5
# CONFIG counts eight or more, and over a quarter.
MIN_LATE = 8
MAX_LATE_SHARE = 0.25


class Case:
    """Counts the requests that last longer than the timeout."""

    def __init__(self, record: standins.Record):
        self.record = record
        self.garbling: set[str] = set()
        self.lists: dict[str, int] = {}
        self.endless: set[str] = set()
        self.ends: list[tuple[str, float, str]] = []
        self.silent_s: dict[str, float] = {}
        self.is_over = False
        self.lock = threading.Lock()

    def handle(
        self, worker: standins.Worker, request: standins.Request
    ) -> None:
        """Answers a request; some answers of the faulty worker never end."""
        attempt = request.attempt
        for _ in request.reader.body(request.head):
            pass
        is_endless = self._is_endless(worker, request)
        self.record.add(
            "run", worker=worker.id, attempt=attempt, endless=is_endless
        )
        time.sleep(WORK_S)
        answer = worker.answer(request, attempt.encode())
        if not is_endless:
            request.sock.sendall(answer)
            return
        head, _, _ = answer.partition(b"Content-Length")
        request.sock.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
        # Until the caller closes.
        while not self.is_over:
            request.sock.sendall(ENDLESS_BLOCK)

    def _is_endless(
        self, worker: standins.Worker, request: standins.Request
    ) -> bool:
        is_list = request.path.startswith("/lists/")
        if not is_list or worker.id not in self.garbling:
            return False
        with self.lock:
            count = self.lists.get(worker.id, 0) + 1
            self.lists[worker.id] = count
            is_endless = standins.HAS_TROUBLE and count % ENDLESS_EVERY == 0
            if is_endless:
                self.endless.add(request.attempt)
        return is_endless

    def call(self, front: tuple[str, int], number: int) -> None:
        """Sends one request on a new connection and waits for its answer."""
        kind = list(DEADLINES_MS)[number % len(DEADLINES_MS)]
        deadline_ms = DEADLINES_MS[kind]
        attempt = standins.attempt_id()
        began = time.monotonic()
        self.record.add("sent", gateway=front[0], attempt=attempt, kind=kind)
        try:
            with socket.create_connection(front, timeout=1.0) as sock:
                sock.settimeout(deadline_ms / 1000)
                sock.sendall(
                    standins.request_bytes(
                        "GET",
                        f"/{kind}/{number}",
                        attempt,
                        remaining_ms=deadline_ms,
                    )
                )
                end = self._receive(sock, began + deadline_ms / 1000)
        except OSError as error:
            end = type(error).__name__
        took_s = time.monotonic() - began
        self.record.add(
            "ended", attempt=attempt, how=end, after_s=f"{took_s:.2f}"
        )
        with self.lock:
            self.ends.append((attempt, took_s, end))

    def _receive(self, sock: socket.socket, deadline: float) -> str:
        """Returns how a request ended; gives up at the deadline."""
        reader = standins.Reader(sock)
        head = reader.head()
        if head is None:
            return "closed"
        for _ in reader.body(head):
            if time.monotonic() > deadline:
                return "none-until-deadline"
        return head.line.split(" ")[1]

    def probe(self, gateway: standins.Gateway) -> None:
        """Asks for readiness all the while, and records silence."""
        answered_at = time.monotonic()
        while not self.is_over:
            if gateway.is_ready():
                answered_at = time.monotonic()
            silent_s = time.monotonic() - answered_at
            with self.lock:
                longest_s = self.silent_s.get(gateway.ip, 0.0)
                self.silent_s[gateway.ip] = max(longest_s, silent_s)
            time.sleep(PROBE_INTERVAL_S)

    def send(self, fronts: list[tuple[str, int]]) -> None:
        """Sends requests to each gateway at a steady rate."""
        threads = []
        began = time.monotonic()
        for number in range(int(PLAY_S * REQUESTS_PER_S)):
            due_at = began + number / REQUESTS_PER_S
            time.sleep(max(0.0, due_at - time.monotonic()))
            for front in fronts:
                thread = threading.Thread(
                    target=self.call, args=(front, number), daemon=True
                )
                thread.start()
                threads.append(thread)
        for thread in threads:
            thread.join()


def play(record: standins.Record) -> int:
    """Returns the result of the case."""
    case = Case(record)
    routes = [
        standins.route(kind, "idempotent", Timeout=f"{TIMEOUT_S}s")
        for kind in DEADLINES_MS
    ]
    deployment = standins.Deployment(
        routes, case.handle, workers_per_zone=WORKERS_PER_ZONE
    )
    count = int(GARBLING_SHARE * len(deployment.workers))
    case.garbling = {worker.id for worker in deployment.workers[:count]}
    try:
        deployment.start()
        for gateway in deployment.gateways:
            threading.Thread(
                target=case.probe, args=(gateway,), daemon=True
            ).start()
        case.send([gateway.front for gateway in deployment.gateways])
        case.is_over = True
    finally:
        deployment.close()
    # Requests whose own answer had no end are left out.
    ends = [x for x in case.ends if x[0] not in case.endless]
    long = [x for x in ends if x[1] > TIMEOUT_S]
    late = [x for x in long if x[1] > TIMEOUT_S + LATE_S]
    served = sum(end == "200" for _, _, end in ends)
    never = sum(end != "200" for _, _, end in ends)
    silent = [f"{x:.1f}" for x in sorted(case.silent_s.values())]
    print(
        f"answers without end: {len(case.endless)}, other requests:"
        f" {len(ends)}, served: {served}, not: {never}, longer than their"
        f" route's timeout:"
        f" {len(long)}, with no final answer {LATE_S} s after it: {len(late)},"
        f" longest silence at the readiness check in s: {silent}"
    )
    if not served:
        return standins.NOT_RUN
    is_broken = len(late) >= MIN_LATE and len(late) > MAX_LATE_SHARE * len(long)
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == "__main__":
    standins.run(HERE, play)
