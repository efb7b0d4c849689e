"""Fake store and targets of the users' platform."""

import base64
import hashlib
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from tests.platform.target_paths import sender_number

READ_BYTES = 65536
SLOTS = 4
STALE_REFUSALS = (
    b"HTTP/1.1 503 X\r\nSardinewheel-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    b"HTTP/1.1 503 X\r\nSardinewheel-Attempt-Id: earlier\r\n"
    b"Sardinewheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
)
ODD_HEADERS = (
    f"Keep-Alive: timeout={'9' * 5000}\r\nServer-Limit: nan\r\n"
    f"Sardinewheel-Server-Load: {'9' * 400},0,4\r\nRetry-After: inf\r\n"
    "Server-Leaving: yes\r\nX-Odd: \u00ed\u00a0\u0080\r\n"
)
# Time that a request runs before it crashes its target.
MIN_CRASH_S = 0.02
MAX_CRASH_S = 0.3


def read_request(sock, data):
    """Returns request line, headers, body and remaining data.

    Returns ``None`` if the connection is closed.
    """
    while b"\r\n\r\n" not in data:
        more = sock.recv(READ_BYTES)
        if not more:
            return None
        data += more
    head, _, data = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    while len(data) < length:
        more = sock.recv(READ_BYTES)
        if not more:
            return None
        data += more
    return lines[0].split(" "), headers, data[:length], data[length:]


class Store:
    """Fake store that serves reads and feeds and injects faults.

    Attributes:
        mode: ``ok``, ``busy`` (503), ``silent`` or ``reset``.
        era: Sent in each response; rises when the store returns from a copy.
        page_rows: Most rows of a table in one response; ``None`` for all.
        on_page: Called with the table and the first key before each response
            that lists rows.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = Event()
        self.mode = "ok"
        self.era = 1
        self.page_rows = None
        self.on_page = lambda _table, _first_key: None
        self.calls = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def put(self, table, key, value):
        """Writes a row, as JSON unless it is bytes; ``None`` deletes it."""
        self.version += 1
        data = value
        if value is not None and not isinstance(value, bytes):
            data = json.dumps(value).encode()
        self.rows[table, key] = (self.version, data)
        self.changed.set()
        self.changed.clear()

    def copy(self):
        """Returns what the store holds now."""
        return dict(self.rows), self.version

    def return_from(self, copy):
        """Returns to a copy; returns the data of the rows that it lacks."""
        rows = self.rows
        self.rows, self.version = dict(copy[0]), copy[1]
        self.era += 1
        self.changed.set()
        self.changed.clear()
        return {
            key: data
            for key, (version, data) in rows.items()
            if self.rows.get(key) != (version, data)
        }

    def _serve(self, sock, _address):
        data = b""
        while True:
            try:
                request = read_request(sock, data)
            except OSError:
                return
            if request is None:
                return
            line, _, _, data = request
            self.calls += 1
            if self.mode == "reset":
                return
            if self.mode == "silent":
                gevent.sleep(3600)
            status, payload = 503, {}
            if self.mode == "ok":
                status, payload = self._handle_query(line[1])
            body = json.dumps(payload).encode()
            head = (
                f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            try:
                sock.sendall(head.encode() + body)
            except OSError:
                return

    def _handle_query(self, path):
        split = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(split.query).items()}
        table = query["Table"]
        if split.path == "/rows-get":
            return 200, self._page(table, query.get("From", ""))
        after = int(query["after"])
        deadline = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            if after > self.version:
                return 410, {}
            rows = self._rows(table, after=after, include_deleted=True)
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0 or self.mode != "ok":
                return 200, {"Rows": rows, "Ver": self.version}
            self.changed.wait(min(remaining_s, 0.5))

    def _page(self, table, first_key):
        self.on_page(table, first_key)
        rows = self._rows(table, after=-1, include_deleted=False)
        rows = [row for row in rows if row["Key"] >= first_key]
        rows.sort(key=lambda row: row["Key"])
        page = rows[: self.page_rows]
        has_more = len(page) < len(rows)
        return {"Rows": page, "HasMore": has_more, "Ver": self.version}

    def _rows(self, table, *, after, include_deleted):
        matching = []
        for (row_table, key), (version, data) in self.rows.items():
            if row_table != table or version <= after:
                continue
            row = {"Table": table, "part": "", "Key": key, "Ver": version}
            if data is None:
                row["Deleted"] = True
                if include_deleted:
                    matching.append(row)
            else:
                matching.append(
                    row | {"Value": base64.b64encode(data).decode()}
                )
        return sorted(matching, key=lambda row: row["Ver"])


def expected_body(request_id):
    """Returns the body of a target's response to a request."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode()


def sending_host(sock, request_id):
    """Returns the number of the gateway that sent a request to a target.

    Without relays to the targets, it is the one that the caller uses.
    """
    number = sender_number(sock.getpeername()[0])
    return host_number(request_id) if number is None else number


def host_number(request_id):
    """Returns the number of the gateway that a caller sent a request to."""
    return int(request_id.rpartition("-")[2])


class Target:
    """Fake target that registers itself and counts executions.

    Attributes:
        execution_counts: Executions of each request id, over all targets.
        fault: Fault injected into a share of the requests: none (``""``),
            ``lose`` (executes, sends no response), ``shed`` (rejects),
            ``extra`` (sends the response twice), ``half`` (truncates it),
            ``stale`` (writes an earlier refusal once more before it),
            ``cut-head`` (ends in its head) or ``odd`` (adds odd headers).
        crash_paths: Paths of requests that crash each target which runs them.
        crash_how: ``close`` if open connections end with it, ``silent`` if
            they only stop responding.
        on_crash: Called with this target and the path of the request that
            crashed it.
        on_arrival: Called with this target, the path of each request and the
            number of the gateway that sent it.
        on_end: Called with the port that it listened on.
        on_request: Called with this target, the id of each request and the
            number of the gateway that sent it.
        silenced: Connections whose requests are ignored.
        announced: What it announces in its responses, if anything, until it
            starts again.
        on_ignored: Called with this target, the id of a request that ignores
            what was announced, the gateway that sent it, and a description.
    """

    def __init__(
        self, name, store, execution_counts, *, service, domain, rng, on_request
    ):
        self.name = name
        self.store = store
        self.execution_counts = execution_counts
        self.domain = domain
        self.on_request = on_request
        self.service = service
        self.rng = rng
        self.fault = ""
        self.crash_paths = frozenset()
        self.crash_how = "close"
        self.on_crash = lambda *_: None
        self.on_arrival = lambda *_: None
        self.on_end = lambda _port: None
        self.on_ignored = lambda *_: None
        self.running = 0
        self.connections = set()
        self.silenced = set()
        self.server = None
        self.start()

    def start(self, *, is_draining=False):
        """Listens if it does not yet, and writes its record."""
        if self.server is None:
            self.server = StreamServer(("127.0.0.1", 0), self._serve)
            self.server.start()
            self.started_ms = int(time.time() * 1000)
            self.announced = None
        self.store.put(
            "servers",
            self.name,
            {
                "Service": self.service,
                "Address": f"127.0.0.1:{self.server.server_port}",
                "Zone": self.domain,
                "CfgVersion": "v1",
                "Slots": SLOTS,
                "OperState": "draining" if is_draining else "in_service",
                "ColdLeft": "0ms",
                "Sequence": 1,
                "born": self.started_ms,
            },
        )

    def drain(self):
        """Registers as draining and keeps serving."""
        self.start(is_draining=True)

    def crash(self):
        """Closes all sockets and leaves its record in the store."""
        self._stop_listening()
        for sock in list(self.connections):
            sock.close()

    def _run_and_crash(self, sock, path):
        """Runs a request for a moment, then ends with all connections."""
        started = self.server
        gevent.sleep(self.rng.uniform(MIN_CRASH_S, MAX_CRASH_S))
        if started is not self.server or started is None:
            return
        if self.crash_how == "silent":
            self.silence_open_connections()
            self._stop_listening()
        else:
            # The own connection last: closing it ends this greenlet.
            self.connections.discard(sock)
            self.crash()
        self.on_crash(self, path)

    def _stop_listening(self):
        # Stopping lets other greenlets run, which may start it again.
        server, self.server = self.server, None
        if server is not None:
            port = server.server_port
            server.stop()
            self.on_end(port)

    def silence_open_connections(self):
        """Ignores requests on open connections from now on; new ones work."""
        self.silenced |= self.connections

    def _serve(self, sock, _address):
        self.connections.add(sock)
        try:
            self._serve_requests(sock)
        except OSError:
            pass
        finally:
            self.connections.discard(sock)
            self.silenced.discard(sock)
            sock.close()

    def _serve_requests(self, sock):
        data = b""
        while request := read_request(sock, data):
            line, headers, _, data = request
            if sock in self.silenced:
                continue
            request_id = headers["sardinewheel-attempt-id"]
            host = sending_host(sock, request_id)
            if headers["sardinewheel-target-instance"] != self.name:
                self._send(sock, request_id, 421, b"")
                continue
            self._record_arrival(request_id, host)
            self.on_arrival(self, line[1], host)
            if line[1] in self.crash_paths:
                self._run_and_crash(sock, line[1])
                return
            fault = self.fault if self.rng.random() < 0.3 else ""
            is_refusing = self.announced is not None and self.announced.refuses
            if fault == "shed" or is_refusing or self.running >= SLOTS * 4:
                extra_headers = "Sardinewheel-Not-Executed: 1\r\n"
                self._send(sock, request_id, 503, b"", extra_headers)
                continue
            self.on_request(self, request_id, host)
            self._execute(sock, request_id, fault)
            if fault in ("lose", "half", "cut-head"):
                return

    def _record_arrival(self, request_id, host):
        """Checks a request of a host against what this target announces."""
        if self.announced is None:
            return
        finding = self.announced.record_arrival(host, time.monotonic())
        if finding is not None:
            self.on_ignored(self, request_id, host, finding)

    def _announcing_headers(self, sock, request_id):
        if self.announced is None:
            return ""
        host = sending_host(sock, request_id)
        self.announced.record_response(host, time.monotonic())
        return self.announced.headers

    def _execute(self, sock, request_id, fault):
        self.execution_counts[request_id] = (
            self.execution_counts.get(request_id, 0) + 1
        )
        if fault == "stale":
            sock.sendall(self.rng.choice(STALE_REFUSALS))
        self.running += 1
        gevent.sleep(self.rng.uniform(0.005, 0.05))
        self.running -= 1
        if fault == "lose":
            return
        body = expected_body(request_id)
        if fault in ("half", "cut-head"):
            cut_bytes = 20 if fault == "half" else self.rng.randint(65, 180)
            self._send(sock, request_id, 200, body, truncated_bytes=cut_bytes)
            return
        extra_headers = ODD_HEADERS if fault == "odd" else ""
        self._send(sock, request_id, 200, body, extra_headers)
        if fault == "extra":
            self._send(sock, request_id, 200, body)

    def _send(
        self,
        sock,
        request_id,
        status,
        body,
        extra_headers="",
        truncated_bytes=0,
    ):
        seal = "Sardinewheel-Server-Seal: x\r\n" if status == 200 else ""
        load = f"{self.running},0,{SLOTS}"
        head = (
            f"HTTP/1.1 {status} X\r\nSardinewheel-Attempt-Id: {request_id}\r\n"
            f"{seal}{extra_headers}Sardinewheel-Server-Load: {load}\r\n"
            f"{self._announcing_headers(sock, request_id)}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        data = head.encode("latin-1") + body
        sock.sendall(data[: max(0, len(data) - truncated_bytes)])


def start_targets(
    store, domains, *, service="orders", prefix="t", on_request=lambda *_: None
):
    """Returns a target of a service in each of the given domains.

    Args:
        store: Store in which they register.
        domains: Failure domain of each target.
        service: Their service.
        prefix: Start of their names.
        on_request: See ``Target.on_request``.
    """
    return [
        Target(
            f"{prefix}{number}",
            store,
            {},
            service=service,
            domain=domain,
            rng=random.Random(number),
            on_request=on_request,
        )
        for number, domain in enumerate(domains)
    ]
