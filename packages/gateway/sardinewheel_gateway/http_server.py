"""HTTP/1.1 server for callers.

``h11`` frames the messages. Its connection object handles one request at a
time, so each request gets its own, which starts with the unread bytes of the
previous one. Pipelined requests are therefore handled concurrently, and their
responses are sent in request order.
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
from sardinewheel_gateway.messages import RequestHead, header_value
from sardinewheel_gateway.policy.routes import Limits
from sardinewheel_gateway.supervision import failure_location

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
        sock: Socket of the connection.
        exchanges: Exchanges without a complete response, in request order.
        greenlets: Handler greenlet of each exchange.
        pipeline_slot_freed: Set when a response is complete, so that reading
            may continue after ``MAX_PIPELINED`` requests.
        final_exchange: Exchange after which the connection closes, if known.
        is_broken: Whether the connection was closed prematurely.
    """

    def __init__(self, sock, server: "HttpServer"):
        self.sock = sock
        self.server = server
        self.exchanges: deque[Exchange] = deque()
        self.greenlets: dict[Exchange, gevent.Greenlet] = {}
        self.pipeline_slot_freed = Event()
        self.final_exchange: Exchange | None = None
        self.is_broken = False

    def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            self._read_requests()
        except (OSError, CallerGoneError):
            pass
        finally:
            self._close()

    def must_close(self, exchange: Exchange) -> bool:
        """Returns whether the connection closes after this response.

        A host that is shutting down closes it after the last request read.
        """
        is_last = self.exchanges and self.exchanges[-1] is exchange
        if (
            self.server.is_shutting_down
            and self.final_exchange is None
            and is_last
        ):
            self.final_exchange = exchange
        return self.final_exchange is exchange

    def write(self, data: bytes) -> None:
        """Sends bytes to the caller.

        Raises:
            CallerGoneError: Writing failed or timed out.
        """
        try:
            with gevent.Timeout(
                WRITE_TIMEOUT_S,
                OSError(f"write timed out after {WRITE_TIMEOUT_S} s"),
            ):
                self.sock.sendall(data)
        except OSError as error:
            self.terminate()
            raise CallerGoneError(str(error)) from error

    def response_finished(self, exchange: Exchange) -> None:
        """Allows the next response to be sent, or closes the connection."""
        if self.exchanges and self.exchanges[0] is exchange:
            self.exchanges.popleft()
        self.greenlets.pop(exchange, None)
        self.pipeline_slot_freed.set()
        is_last = exchange.parser.our_state is h11.MUST_CLOSE
        if is_last or self.final_exchange is exchange:
            _shutdown_socket(self.sock, std_socket.SHUT_WR)
        elif self.exchanges:
            self.exchanges[0].may_respond.set()

    def terminate(self) -> None:
        """Closes the connection without completing a response."""
        self.is_broken = True
        _shutdown_socket(self.sock, std_socket.SHUT_RDWR)

    def close_if_idle(self) -> None:
        """Closes the connection if no request is in progress."""
        if not self.exchanges:
            self.terminate()

    def _read_requests(self) -> None:
        parser = self._parser(b"")
        while not self.is_broken:
            head = self._read_head(parser)
            if head is None:
                return
            if self.final_exchange is not None:
                break
            exchange = self._start(parser, head)
            self._read_body(exchange)
            while len(self.exchanges) >= MAX_PIPELINED:
                self.pipeline_slot_freed.clear()
                self.pipeline_slot_freed.wait()
            if parser.their_state is not h11.DONE:
                self._wait_for_close()
                return
            rest, _ = parser.trailing_data
            parser = self._parser(rest)
        self._wait_for_close()

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
            exchange.may_respond.set()
        self.server.request_started(exchange)
        greenlet = gevent.spawn(self.server.serve, exchange)
        self.greenlets[exchange] = greenlet
        return exchange

    def _read_head(self, parser) -> RequestHead | None:
        """Returns the next request head, or None at the end of requests."""
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
                self._reject(parser, error.error_status_hint, str(error))
                return None
            if isinstance(event, h11.Request):
                return self._validate_head(parser, event)
            if event is not h11.NEED_DATA:
                return None
            data = self._receive(deadline)
            if data is None:
                if has_bytes:
                    self._reject(parser, REQUEST_TIMEOUT, "head not complete")
                return None
            if not data:
                return None
            if not has_bytes:
                has_bytes = True
                deadline = clock.steady() + limits.head_timeout_s
            parser.receive_data(data)

    def _validate_head(self, parser, event: h11.Request) -> RequestHead | None:
        headers = list(event.headers)
        names = [name for name, _ in headers]
        lengths = names.count(b"content-length")
        codings = names.count(b"transfer-encoding")
        is_ambiguous = lengths + codings > 1
        host = header_value(headers, b"host") or b""
        path = event.target
        if path[:1] != b"/":
            host, path = _absolute_form(path)
        if is_ambiguous or path[:1] != b"/" or names.count(b"host") > 1:
            self._reject(parser, BAD_REQUEST, "ambiguous framing or target")
            return None
        length = header_value(headers, b"content-length")
        if length and int(length) > self.server.limits.max_body_bytes:
            self._reject(parser, BODY_TOO_LARGE, "body too large")
            return None
        return RequestHead(event.method, path, host, headers, clock.steady())

    def _read_body(self, exchange: Exchange) -> None:
        """Reads a request body, with back-pressure from its consumer."""
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
                exchange.fail_body(CallerGoneError(str(error)))
                raise CallerGoneError(str(error)) from error
            if isinstance(event, h11.Data):
                self._buffer_data(exchange, bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                exchange.body_is_complete = True
                exchange.body_changed.set()
                return
            elif event is h11.NEED_DATA:
                data = self._receive(clock.steady() + idle_timeout_s)
                if not data:
                    error = CallerGoneError(
                        "connection closed or idle before the body ended"
                    )
                    exchange.fail_body(error)
                    raise error
                parser.receive_data(data)
            else:
                return

    def _buffer_data(self, exchange: Exchange, data: bytes) -> None:
        exchange.received_bytes += len(data)
        if exchange.received_bytes > self.server.limits.max_body_bytes:
            exchange.fail_body(
                BodyTooLargeError("request body exceeds max_body_bytes")
            )
            self._discard_input()
            raise CallerGoneError("request body exceeds max_body_bytes")
        if exchange.is_done or exchange.body_error is not None:
            return
        exchange.chunks.append(data)
        exchange.body_changed.set()
        while len(exchange.chunks) >= MAX_BUFFERED_CHUNKS:
            if exchange.is_done:
                exchange.chunks.clear()
                return
            exchange.body_consumed.clear()
            exchange.body_consumed.wait(timeout=1.0)

    def _discard_input(self) -> None:
        """Discards input while pending responses are sent."""
        deadline = clock.steady() + DISCARD_TIMEOUT_S
        while self.exchanges and clock.steady() < deadline:
            if not self._receive(deadline):
                break

    def _wait_for_close(self) -> None:
        """Waits until the caller closes, after the last request was read."""
        while not self.is_broken:
            deadline = clock.steady() + self.server.limits.idle_timeout_s
            data = self._receive(deadline)
            if data is None and self.exchanges:
                continue
            if not data:
                return

    def _receive(self, deadline: float) -> bytes | None:
        """Returns received bytes, ``b""`` at EOF, or None at the deadline.

        While a request is in progress, the deadline is extended by the idle
        timeout.
        """
        while True:
            timeout_s = max(0.0, deadline - clock.steady())
            with gevent.Timeout(timeout_s, False):
                return self.sock.recv(READ_BLOCK_BYTES)
            if not self.exchanges:
                return None
            deadline = clock.steady() + self.server.limits.idle_timeout_s

    def _reject(self, parser, status: int, reason: str) -> None:
        """Responds to an invalid request and closes the connection."""
        head = RequestHead(b"", b"", b"", [], clock.steady())
        exchange = Exchange(self, parser, head)
        self.exchanges.append(exchange)
        if self.exchanges[0] is exchange:
            exchange.may_respond.set()
        self.final_exchange = exchange
        self.server.request_rejected(status, reason)
        if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            exchange.respond(status, [], b"")
        self._linger()

    def _linger(self) -> None:
        """Discards input for a while.

        Closing a socket with unread input resets the connection, which may
        destroy the response.
        """
        deadline = clock.steady() + DISCARD_TIMEOUT_S
        try:
            while clock.steady() < deadline and self._receive(deadline):
                pass
        except OSError:
            return

    def _close(self) -> None:
        """Cancels requests in progress and closes the connection."""
        for exchange, greenlet in list(self.greenlets.items()):
            if not exchange.is_done:
                greenlet.kill(block=False)
                # A handler that has not begun does not end the request itself.
                self.server.request_ended(exchange)
        self.exchanges.clear()
        self.sock.close()
        self.server.connections.discard(self)


class HttpServer:
    """Accepts connections and passes each request to a handler.

    Attributes:
        limits: Size limits and timeouts of requests.
        is_shutting_down: Whether connections close after the next response.
        connections: Open connections.
        in_progress: Exchanges without a complete response.
    """

    def __init__(self, address: tuple[str, int], handler: Handler, log):
        self.handler = handler
        self.log = log
        self.limits = Limits()
        self.is_shutting_down = False
        self.connections: set[ServerConnection] = set()
        self.in_progress: set[Exchange] = set()
        self.listener = StreamServer(
            address, self._accept, backlog=LISTEN_BACKLOG
        )

    def start(self) -> None:
        """Starts listening."""
        self.listener.start()

    def stop_accepting(self) -> None:
        """Stops listening; open connections continue."""
        self.listener.close()

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def give_up_bodies(self) -> None:
        """Awaits no more of the request bodies that have not ended."""
        for exchange in list(self.in_progress):
            exchange.give_up_body()

    def request_started(self, exchange: Exchange) -> None:
        """Registers a request."""
        self.in_progress.add(exchange)

    def request_ended(self, exchange: Exchange) -> None:
        """Removes a request that is no longer under way."""
        self.in_progress.discard(exchange)

    def request_rejected(self, status: int, reason: str) -> None:
        """Logs an invalid request."""
        self.log.warning("request-rejected", status=status, reason=reason)

    def serve(self, exchange: Exchange) -> None:
        """Runs the handler for a request."""
        try:
            self.handler(exchange)
        except CallerGoneError:
            pass
        except Exception as error:
            self.log.error(
                "handler-failed",
                error=repr(error),
                path=exchange.head.path,
                at=failure_location(error),
            )
            if exchange.has_begun:
                exchange.abort()
            else:
                exchange.respond(INTERNAL_ERROR, [], b"")
        finally:
            self.request_ended(exchange)

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


def _shutdown_socket(sock, how: int) -> None:
    try:
        sock.shutdown(how)
    except OSError:
        return


def _absolute_form(target: bytes) -> tuple[bytes, bytes]:
    """Splits an absolute-form request target into host and path."""
    scheme, _, rest = target.partition(b"://")
    if scheme.lower() != b"http":
        return b"", b""
    host, slash, path = rest.partition(b"/")
    return host, slash + path
