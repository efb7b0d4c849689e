"""A gevent WSGI server that answers without delay."""

import socket

import falcon
from gevent.pywsgi import WSGIServer

from sardinewheel_entry import addresses


class NoDelayServer(WSGIServer):
    """Sends small answers at once.

    Without ``TCP_NODELAY`` a keep-alive client waits about 40 ms for each
    answer, for its own delayed acknowledgement.
    """

    def handle(self, client_socket, address):
        """Serves one connection."""
        client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(client_socket, address)


def server(address: str, app: falcon.App) -> NoDelayServer:
    """Returns a server for an application; it listens once started."""
    return NoDelayServer(addresses.split(address), app, log=None)
