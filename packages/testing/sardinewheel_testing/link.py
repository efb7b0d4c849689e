"""Stand-in for the network: TCP relays that delay, cut or freeze traffic.

The argument is a JSON file with the fields of :class:`LinkSettings`.
"""

from gevent import monkey

monkey.patch_all()

import contextlib  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import NamedTuple  # noqa: E402

import falcon  # noqa: E402
import gevent  # noqa: E402
from gevent import socket  # noqa: E402
from gevent.queue import Queue  # noqa: E402
from gevent.server import StreamServer  # noqa: E402
from sardinewheel_entry import addresses  # noqa: E402

from sardinewheel_testing import servers  # noqa: E402
from sardinewheel_testing.relays import (  # noqa: E402
    RelaySettings,
    RelayState,
)

READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0


class LinkSettings(NamedTuple):
    """Settings of a relay process.

    Attributes:
        control_address: Address that serves ``/control``.
        relays: Fields of :class:`~sardinewheel_testing.relays.RelaySettings`
            for each relay.
    """

    control_address: str
    relays: list[dict]


class RelayedConnection:
    """One relayed connection.

    Attributes:
        sockets: Sockets to the client and to the server.
        delay_s: One-way delay in seconds.
        is_dropping: Whether it discards all bytes.
    """

    def __init__(
        self, downstream: socket.socket, upstream: socket.socket, delay_s: float
    ):
        self.sockets = (downstream, upstream)
        self.delay_s = delay_s
        self.is_dropping = False

    def run(self) -> None:
        """Forwards bytes in both directions until both sides have closed."""
        downstream, upstream = self.sockets
        forwarders = [
            gevent.spawn(self._forward, downstream, upstream),
            gevent.spawn(self._forward, upstream, downstream),
        ]
        gevent.joinall(forwarders)
        self.close()

    def close(self) -> None:
        """Closes both sockets."""
        for sock in self.sockets:
            _shutdown(sock, socket.SHUT_RDWR)
            sock.close()

    def _forward(
        self, source: socket.socket, destination: socket.socket
    ) -> None:
        queue: Queue = Queue()
        writer = gevent.spawn(self._deliver, queue, destination)
        data = _read(source)
        while data:
            queue.put((time.monotonic() + self.delay_s, data))
            data = _read(source)
        queue.put((time.monotonic() + self.delay_s, b""))
        writer.join()

    def _deliver(self, queue: Queue, destination: socket.socket) -> None:
        while True:
            due_at, data = queue.get()
            gevent.sleep(max(0.0, due_at - time.monotonic()))
            if self.is_dropping:
                continue
            if not data:
                _shutdown(destination, socket.SHUT_WR)
                return
            try:
                destination.sendall(data)
            except OSError:
                _shutdown(destination, socket.SHUT_RDWR)
                return


def _read(source: socket.socket) -> bytes:
    try:
        return source.recv(READ_BYTES)
    except OSError:
        return b""


def _shutdown(sock: socket.socket, how: int) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(how)


class Relay:
    """Accepts connections on one address and forwards them to another.

    Attributes:
        settings: Addresses and delay.
        state: Current state.
        accepted: Number of connections accepted so far.
    """

    def __init__(self, settings: RelaySettings):
        self.settings = settings
        self.state = RelayState.OPEN
        self.accepted = 0
        self.connections: set[RelayedConnection] = set()
        self.server = self._listen()

    def set_state(self, state: RelayState) -> None:
        """Sets the state of the relay and of its open connections."""
        if state is RelayState.CUT and self.state is not RelayState.CUT:
            self.server.stop(timeout=0)
        elif state is not RelayState.CUT and self.state is RelayState.CUT:
            self.server = self._listen()
        self.state = state
        for connection in list(self.connections):
            connection.is_dropping |= state in (
                RelayState.FROZEN,
                RelayState.SILENT,
            )
            if state is RelayState.CUT:
                connection.close()

    def _listen(self) -> StreamServer:
        server = StreamServer(
            addresses.split(self.settings.listen), self._accept
        )
        server.reuse_addr = 1
        server.start()
        return server

    def _accept(self, downstream: socket.socket, _) -> None:
        self.accepted += 1
        try:
            upstream = socket.create_connection(
                addresses.split(self.settings.to), timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            downstream.close()
            return
        upstream.settimeout(None)
        for sock in (downstream, upstream):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = RelayedConnection(
            downstream, upstream, self.settings.delay_s
        )
        connection.is_dropping = self.state is RelayState.FROZEN
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)


class ControlResource:
    """``/control``: states of the relays."""

    def __init__(self, relays: dict[str, Relay]):
        self.relays = relays

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the state and the connection count of every relay."""
        resp.media = {
            name: {"state": relay.state, "accepted": relay.accepted}
            for name, relay in self.relays.items()
        }

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Sets the state of named relays: ``{"relays": [...], "state"}``."""
        fields = req.get_media()
        for name in fields["relays"]:
            self.relays[name].set_state(RelayState(fields["state"]))


def main() -> None:
    """Serves the relays in the settings file given as argument."""
    text = Path(sys.argv[1]).read_text(encoding="utf-8")
    link_settings = LinkSettings(**json.loads(text))
    relays = {}
    for fields in link_settings.relays:
        settings = RelaySettings(**fields)
        relays[settings.name] = Relay(settings)
    app = falcon.App()
    app.add_route("/control", ControlResource(relays))
    servers.create_server(link_settings.control_address, app).serve_forever()


if __name__ == "__main__":
    main()
