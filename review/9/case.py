"""Workers that hang in the middle of an answer, on a route with a timeout."""

import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.append(str(HERE.parent))

import standins_2 as standins  # noqa: E402

REQUESTS = 600
WORKERS_PER_ZONE = 4
ANSWER_BYTES = 300_000
SENT_BEFORE_HANG = 120_000
DEADLINE_MS = 6_592
TIMEOUT_S = 2.0
LATE_S = 0.5
# Of the answers of one of eight workers; they stop without the connection
# being closed.
HUNG_SHARE = 0.4 if standins.HAS_TROUBLE else 0.0
HANG_S = 12.0
# CONFIG counts eight or more, and over a quarter.
MIN_LATE = 8
MAX_LATE_SHARE = 0.25


class Case:
    """Counts the requests that last longer than the timeout."""

    def __init__(self, record: standins.Record):
        self.record = record
        self.grey_id = ""
        self.runs = 0
        self.hung = 0
        self.ended = 0
        self.long = 0
        self.late = 0
        self.lock = threading.Lock()

    def handle(
        self, worker: standins.Worker, request: standins.Request
    ) -> None:
        """Answers; a part of the answers stops midway."""
        for _ in request.reader.body(request.head):
            pass
        with self.lock:
            self.runs += worker.id == self.grey_id
            is_hung = worker.id == self.grey_id and self.hung < int(
                HUNG_SHARE * self.runs
            )
            self.hung += is_hung
        self.record.add(
            "run", worker=worker.id, attempt=request.attempt, hangs=is_hung
        )
        answer = worker.answer(request, b"a" * ANSWER_BYTES)
        if not is_hung:
            request.sock.sendall(answer)
            return
        request.sock.sendall(answer[:SENT_BEFORE_HANG])
        time.sleep(HANG_S)
        raise ConnectionError("hung")

    def call(self, front: tuple[str, int], number: int) -> None:
        """Sends one request and waits for the end of its answer."""
        attempt = standins.attempt_id()
        began = time.monotonic()
        end = "answered"
        received = 0
        with socket.create_connection(front, timeout=1.0) as sock:
            sock.settimeout(DEADLINE_MS / 1000)
            sock.sendall(
                standins.request_bytes(
                    "GET",
                    f"/plans/{number}",
                    attempt,
                    remaining_ms=DEADLINE_MS,
                )
            )
            self.record.add("sent", attempt=attempt)
            reader = standins.Reader(sock)
            try:
                head = reader.head()
                if head is None:
                    raise ConnectionError("closed before an answer")
                end = head.line
                for part in reader.body(head):
                    received += len(part)
            except TimeoutError:
                end = "client-gave-up-at-deadline"
            except OSError as error:
                end = repr(error)
        took_s = time.monotonic() - began
        self.record.add(
            "ended",
            attempt=attempt,
            how=end,
            received=received,
            after_s=f"{took_s:.2f}",
        )
        with self.lock:
            self.ended += 1
            self.long += took_s > TIMEOUT_S
            self.late += took_s > TIMEOUT_S + LATE_S


def play(record: standins.Record) -> int:
    """Returns the result of the case."""
    case = Case(record)
    routes = [standins.route("plans", "download", Timeout="2s")]
    deployment = standins.Deployment(
        routes, case.handle, workers_per_zone=WORKERS_PER_ZONE
    )
    case.grey_id = deployment.workers[0].id
    try:
        deployment.start()
        fronts = [gateway.front for gateway in deployment.gateways]
        threads = []
        for number in range(REQUESTS):
            front = fronts[number % len(fronts)]
            thread = threading.Thread(target=case.call, args=(front, number))
            thread.start()
            threads.append(thread)
            time.sleep(0.05)
        for thread in threads:
            thread.join()
    finally:
        deployment.close()
    print(
        f"requests: {case.ended}, longer than their route's timeout:"
        f" {case.long}, with no final answer {LATE_S} s after it: {case.late}"
    )
    if case.ended < REQUESTS:
        return standins.NOT_RUN
    is_broken = case.late >= MIN_LATE and case.late > MAX_LATE_SHARE * case.long
    return standins.BROKEN if is_broken else standins.HELD


if __name__ == "__main__":
    standins.run(HERE, play)
