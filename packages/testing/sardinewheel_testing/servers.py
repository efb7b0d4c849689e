"""HTTP servers of the stand-ins, which can drop connections."""

import contextlib
import socket

import falcon
from gevent.pywsgi import WSGIHandler
from sardinewheel_entry import addresses
from sardinewheel_entry.wsgi import NoDelayServer

SOCKET_KEY = "sardinewheel_testing.socket"


class SocketHandler(WSGIHandler):
    """Passes the socket of each request to the application."""

    def get_environ(self):
        """Returns the WSGI environment with the socket."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


def create_server(address: str, app: falcon.App) -> NoDelayServer:
    """Returns a server for an application, not yet started."""
    return NoDelayServer(
        addresses.split(address),
        app,
        handler_class=SocketHandler,
        log=None,
        error_log=None,
    )


def drop_connection(req: falcon.Request) -> None:
    """Shuts down the connection of a request, so that no response arrives."""
    with contextlib.suppress(OSError):
        req.env[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
