"""HTTP/1.1 towards callers.

``h11`` frames the messages. Its connection object serves one request at a
time; here each request has one of its own, which begins with the bytes that
the one before left over. So pipelined requests are served at the same time,
and their answers leave in the order of the requests.
"""

import socket as std_socket
from collections import deque
from collections.abc import Callable

import gevent
import h11
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from sardinewheel_gateway import clock
from sardinewheel_gateway.errors import BodyTooLargeError, CallerGoneError
from sardinewheel_gateway.exchange import Exchange
from sardinewheel_gateway.messages import RequestHead, value_of
from sardinewheel_gateway.policy.routes import Limits

READ_BLOCK_BYTES = 64 * 1024
MAX_PIPELINED = 16
MAX_BUFFERED_CHUNKS = 4
WRITE_TIMEOUT_S = 10.0
DISCARD_TIMEOUT_S = 2.0
UNACKNOWLEDGED_TIMEOUT_MS = 5000
LISTEN_BACKLOG = 1024
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
INTERNAL_ERROR = 500


Handler = Callable[[Exchange], None]


class ServerConnection:
    """One connection of a caller.

    Attributes:
        sock: Its socket.
        exchanges: Requests whose answers aren't complete, in order.
        closes_after: Request whose answer ends the connection, once known.
    """

    def __init__(self, sock, server: "HttpServer"):
        self.sock = sock
        self.server = server
        self.exchanges: deque[Exchange] = deque()
        self.greenlets: dict[Exchange, gevent.Greenlet] = {}
        self.room = Event()
        self.closes_after: Exchange | None = None
        self.is_broken = False

    def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            self._read_requests()
        except (OSError, CallerGoneError):
            pass
        finally:
            self._end()

    def must_close(self, exchange: Exchange) -> bool:
        """Says whether the connection ends with an answer.

        A leaving host ends it with the last request that it has read.
        """
        is_last = self.exchanges and self.exchanges[-1] is exchange
        if self.server.is_leaving and self.closes_after is None and is_last:
            self.closes_after = exchange
        return self.closes_after is exchange

    def write(self, data: bytes) -> None:
        """Sends bytes to the caller.

        Raises:
            CallerGoneError: The caller can't be reached.
        """
        try:
            with gevent.Timeout(WRITE_TIMEOUT_S, OSError("write timeout")):
                self.sock.sendall(data)
        except OSError as error:
            self.break_off()
            raise CallerGoneError(str(error)) from error

    def finished(self, exchange: Exchange) -> None:
        """Lets the next answer leave, or ends the connection."""
        if self.exchanges and self.exchanges[0] is exchange:
            self.exchanges.popleft()
        self.greenlets.pop(exchange, None)
        self.room.set()
        is_last = exchange.parser.our_state is h11.MUST_CLOSE
        if is_last or self.closes_after is exchange:
            _shut(self.sock, std_socket.SHUT_WR)
        elif self.exchanges:
            self.exchanges[0].turn.set()

    def break_off(self) -> None:
        """Ends the connection without completing an answer."""
        self.is_broken = True
        _shut(self.sock, std_socket.SHUT_RDWR)

    def close_if_idle(self) -> None:
        """Ends the connection if no request is under way."""
        if not self.exchanges:
            self.break_off()

    def _read_requests(self) -> None:
        parser = self._parser(b"")
        while not self.is_broken:
            head = self._read_head(parser)
            if head is None:
                return
            if self.closes_after is not None:
                break
            exchange = self._start(parser, head)
            self._read_body(exchange)
            while len(self.exchanges) >= MAX_PIPELINED:
                self.room.clear()
                self.room.wait()
            if parser.their_state is not h11.DONE:
                self._wait_for_end()
                return
            rest, _ = parser.trailing_data
            parser = self._parser(rest)
        self._wait_for_end()

    def _parser(self, data: bytes) -> h11.Connection:
        limit = self.server.limits.max_head_bytes
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)
        if data:
            parser.receive_data(data)
        return parser

    def _start(self, parser, head: RequestHead) -> Exchange:
        exchange = Exchange(self, parser, head)
        self.exchanges.append(exchange)
        if self.exchanges[0] is exchange:
            exchange.turn.set()
        self.server.started(exchange)
        greenlet = gevent.spawn(self.server.serve, exchange)
        self.greenlets[exchange] = greenlet
        return exchange

    def _read_head(self, parser) -> RequestHead | None:
        """Returns the next request, or nothing when there is none."""
        limits = self.server.limits
        has_bytes = bool(parser.trailing_data[0])
        timeout_s = (
            limits.head_timeout_s if has_bytes else limits.idle_timeout_s
        )
        deadline = clock.steady() + timeout_s
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(parser, error.error_status_hint)
                return None
            if isinstance(event, h11.Request):
                return self._checked_head(parser, event)
            if event is not h11.NEED_DATA:
                return None
            data = self._receive(deadline)
            if data is None:
                if has_bytes:
                    self._reject(parser, REQUEST_TIMEOUT)
                return None
            if not data:
                return None
            if not has_bytes:
                has_bytes = True
                deadline = clock.steady() + limits.head_timeout_s
            parser.receive_data(data)

    def _checked_head(self, parser, event: h11.Request) -> RequestHead | None:
        headers = list(event.headers)
        names = [name for name, _ in headers]
        lengths = names.count(b"content-length")
        codings = names.count(b"transfer-encoding")
        is_ambiguous = lengths + codings > 1
        host = value_of(headers, b"host") or b""
        path = event.target
        if path[:1] != b"/":
            host, path = _absolute_form(path)
        if is_ambiguous or path[:1] != b"/" or names.count(b"host") > 1:
            self._reject(parser, BAD_REQUEST)
            return None
        length = value_of(headers, b"content-length")
        if length and int(length) > self.server.limits.max_body_bytes:
            self._reject(parser, BODY_TOO_LARGE)
            return None
        return RequestHead(event.method, path, host, headers, clock.steady())

    def _read_body(self, exchange: Exchange) -> None:
        """Reads the rest of a request, no faster than it is taken."""
        parser = exchange.parser
        idle_timeout_s = self.server.limits.idle_timeout_s
        if parser.they_are_waiting_for_100_continue:
            self.write(
                parser.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        while True:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError as error:
                self._fail_body(exchange, CallerGoneError(str(error)))
                raise CallerGoneError(str(error)) from error
            if isinstance(event, h11.Data):
                self._take_data(exchange, bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                exchange.body_is_complete = True
                exchange.body_changed.set()
                return
            elif event is h11.NEED_DATA:
                data = self._receive(clock.steady() + idle_timeout_s)
                if not data:
                    error = CallerGoneError("the body ended early")
                    self._fail_body(exchange, error)
                    raise error
                parser.receive_data(data)
            else:
                return

    def _take_data(self, exchange: Exchange, data: bytes) -> None:
        exchange.received += len(data)
        if exchange.received > self.server.limits.max_body_bytes:
            self._fail_body(exchange, BodyTooLargeError("body too large"))
            self._drain()
            raise CallerGoneError("the body is too large")
        if exchange.is_done or exchange.body_error is not None:
            return
        exchange.chunks.append(data)
        exchange.body_changed.set()
        while len(exchange.chunks) >= MAX_BUFFERED_CHUNKS:
            if exchange.is_done:
                exchange.chunks.clear()
                return
            exchange.body_taken.clear()
            exchange.body_taken.wait(timeout=1.0)

    def _fail_body(self, exchange: Exchange, error: Exception) -> None:
        exchange.body_error = error
        exchange.body_changed.set()

    def _drain(self) -> None:
        """Lets answers under way leave before the connection ends."""
        deadline = clock.steady() + DISCARD_TIMEOUT_S
        while self.exchanges and clock.steady() < deadline:
            if not self._receive(deadline):
                break

    def _wait_for_end(self) -> None:
        """Waits until the caller closes; all its requests are read."""
        while not self.is_broken:
            deadline = clock.steady() + self.server.limits.idle_timeout_s
            data = self._receive(deadline)
            if data is None and self.exchanges:
                continue
            if not data:
                return

    def _receive(self, deadline: float) -> bytes | None:
        """Returns bytes, none at the end, nothing at the deadline."""
        while True:
            timeout_s = max(0.0, deadline - clock.steady())
            with gevent.Timeout(timeout_s, False):
                return self.sock.recv(READ_BLOCK_BYTES)
            if not self.exchanges:
                return None
            deadline = clock.steady() + self.server.limits.idle_timeout_s

    def _reject(self, parser, status: int) -> None:
        """Answers a request that can't be read, and ends the connection."""
        head = RequestHead(b"", b"", b"", [], clock.steady())
        exchange = Exchange(self, parser, head)
        self.exchanges.append(exchange)
        if self.exchanges[0] is exchange:
            exchange.turn.set()
        self.closes_after = exchange
        self.server.rejected(status)
        if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            exchange.respond(status, [], b"")
        self._linger()

    def _linger(self) -> None:
        """Reads on for a moment, so that the answer isn't reset."""
        deadline = clock.steady() + DISCARD_TIMEOUT_S
        try:
            while clock.steady() < deadline and self._receive(deadline):
                pass
        except OSError:
            return

    def _end(self) -> None:
        """Cancels what is under way and closes the connection."""
        for exchange, greenlet in list(self.greenlets.items()):
            if not exchange.is_done:
                greenlet.kill(block=False)
        self.exchanges.clear()
        self.sock.close()
        self.server.connections.discard(self)


class HttpServer:
    """Listens, and hands each request to a handler.

    Attributes:
        limits: What callers may send.
        is_leaving: Whether each connection ends with its next answer.
        connections: Open connections.
        under_way: Requests without a complete answer.
    """

    def __init__(self, address: tuple[str, int], handler: Handler, log):
        self.handler = handler
        self.log = log
        self.limits = Limits()
        self.is_leaving = False
        self.connections: set[ServerConnection] = set()
        self.under_way: set[Exchange] = set()
        self.listener = StreamServer(
            address, self._accept, backlog=LISTEN_BACKLOG
        )

    def start(self) -> None:
        """Starts to listen."""
        self.listener.start()

    def stop_accepting(self) -> None:
        """Stops listening; open connections go on."""
        self.listener.close()

    def close_idle(self) -> None:
        """Ends the connections on which no request is under way."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def started(self, exchange: Exchange) -> None:
        """Notes a request."""
        self.under_way.add(exchange)

    def rejected(self, status: int) -> None:
        """Notes a request that can't be read."""
        self.log.warning("request-rejected", status=status)

    def serve(self, exchange: Exchange) -> None:
        """Runs the handler on a request."""
        try:
            self.handler(exchange)
        except CallerGoneError:
            pass
        except Exception as error:
            self.log.error("handler-failed", error=repr(error))
            if exchange.has_begun:
                exchange.abort()
            else:
                exchange.respond(INTERNAL_ERROR, [], b"")
        finally:
            self.under_way.discard(exchange)

    def _accept(self, sock, _address) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        )
        connection = ServerConnection(sock, self)
        self.connections.add(connection)
        connection.run()


def _shut(sock, how: int) -> None:
    try:
        sock.shutdown(how)
    except OSError:
        return


def _absolute_form(target: bytes) -> tuple[bytes, bytes]:
    """Returns host and path of ``http://host/path``."""
    scheme, _, rest = target.partition(b"://")
    if scheme.lower() != b"http":
        return b"", b""
    host, slash, path = rest.partition(b"/")
    return host, slash + path
