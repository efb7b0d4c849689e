"""A gevent WSGI server with low latency and graceful shutdown."""

import socket

import falcon
from gevent.pywsgi import WSGIHandler, WSGIServer

from sardinewheel_entry import addresses


class TrackingHandler(WSGIHandler):
    """Registers with its server while it handles a request."""

    def read_requestline(self):
        """Returns the next request line and registers the handler."""
        line = super().read_requestline()
        if line:
            self.server.active_handlers.add(self)
        return line

    def handle_one_request(self):
        """Handles one request and then unregisters the handler."""
        try:
            return super().handle_one_request()
        finally:
            self.server.active_handlers.discard(self)

    def start_response(self, status, headers, exc_info=None):
        """Starts the response; closes the connection during shutdown."""
        if self.server.is_shutting_down:
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)


class NoDelayServer(WSGIServer):
    """Sends small responses without delay and completes them on shutdown.

    Without ``TCP_NODELAY`` a keep-alive client waits about 40 ms for each
    response, because of its own delayed acknowledgement.

    Attributes:
        active_handlers: Handlers that are handling a request.
        is_shutting_down: Whether each connection is closed after its next
            response.
    """

    handler_class = TrackingHandler

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.active_handlers: set[WSGIHandler] = set()
        self.is_shutting_down = False

    def handle(self, client_socket, address):
        """Handles one connection."""
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(client_socket, address)

    def close(self):
        """Accepts all pending connections, then stops listening."""
        while self.started and (accepted := self.do_read()) is not None:
            self.do_handle(*accepted)
        super().close()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being handled."""
        return not self.active_handlers


def create_server(address: str, app: falcon.App) -> NoDelayServer:
    """Returns a server for an application; ``start`` makes it listen."""
    return NoDelayServer(addresses.split(address), app, log=None)
