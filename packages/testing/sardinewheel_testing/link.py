"""Stand-in for the network: TCP relays that delay, cut or freeze.

The argument is a JSON file with the fields of :class:`Network`.
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
    State,
)

READ_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0


class Network(NamedTuple):
    """The relays of one process, and the address that controls them."""

    control_address: str
    relays: list[dict]


class Tunnel:
    """One relayed connection.

    Attributes:
        is_silent: Whether it drops every byte.
    """

    def __init__(self, near: socket.socket, far: socket.socket, delay_s: float):
        self.ends = (near, far)
        self.delay_s = delay_s
        self.is_silent = False

    def run(self) -> None:
        """Passes bytes both ways until both ends are done."""
        near, far = self.ends
        pumps = [
            gevent.spawn(self._pump, near, far),
            gevent.spawn(self._pump, far, near),
        ]
        gevent.joinall(pumps)
        self.close()

    def close(self) -> None:
        """Closes both ends."""
        for end in self.ends:
            _shut(end, socket.SHUT_RDWR)
            end.close()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        queue: Queue = Queue()
        writer = gevent.spawn(self._deliver, queue, sink)
        data = _read(source)
        while data:
            queue.put((time.monotonic() + self.delay_s, data))
            data = _read(source)
        queue.put((time.monotonic() + self.delay_s, b""))
        writer.join()

    def _deliver(self, queue: Queue, sink: socket.socket) -> None:
        while True:
            due, data = queue.get()
            gevent.sleep(max(0.0, due - time.monotonic()))
            if self.is_silent:
                continue
            if not data:
                _shut(sink, socket.SHUT_WR)
                return
            try:
                sink.sendall(data)
            except OSError:
                _shut(sink, socket.SHUT_RDWR)
                return


def _read(source: socket.socket) -> bytes:
    try:
        return source.recv(READ_BYTES)
    except OSError:
        return b""


def _shut(end: socket.socket, how: int) -> None:
    with contextlib.suppress(OSError):
        end.shutdown(how)


class Relay:
    """Listens on one address and connects each connection to another.

    Attributes:
        settings: Its addresses and delay.
        state: What it does at present.
        accepted: Connections that it took on so far.
    """

    def __init__(self, settings: RelaySettings):
        self.settings = settings
        self.state = State.OPEN
        self.accepted = 0
        self.tunnels: set[Tunnel] = set()
        self.server = self._listen()

    def set_state(self, state: State) -> None:
        """Changes what the relay does."""
        if state is State.CUT and self.state is not State.CUT:
            self.server.stop(timeout=0)
        elif state is not State.CUT and self.state is State.CUT:
            self.server = self._listen()
        self.state = state
        for tunnel in list(self.tunnels):
            tunnel.is_silent |= state in (State.FROZEN, State.SILENT)
            if state is State.CUT:
                tunnel.close()

    def _listen(self) -> StreamServer:
        server = StreamServer(
            addresses.split(self.settings.listen), self._accept
        )
        server.reuse_addr = 1
        server.start()
        return server

    def _accept(self, near: socket.socket, _) -> None:
        self.accepted += 1
        try:
            far = socket.create_connection(
                addresses.split(self.settings.to), timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for end in (near, far):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tunnel = Tunnel(near, far, self.settings.delay_s)
        tunnel.is_silent = self.state is State.FROZEN
        self.tunnels.add(tunnel)
        try:
            tunnel.run()
        finally:
            self.tunnels.discard(tunnel)


class ControlResource:
    """``/control``: the relays' states."""

    def __init__(self, relays: dict[str, Relay]):
        self.relays = relays

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with every relay's state and counts."""
        resp.media = {
            name: {"state": relay.state, "accepted": relay.accepted}
            for name, relay in self.relays.items()
        }

    def on_put(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Sets the state of some relays: ``{"relays": [...], "state"}``."""
        plain = req.get_media()
        for name in plain["relays"]:
            self.relays[name].set_state(State(plain["state"]))


def main() -> None:
    """Serves the relays of the file given as argument."""
    text = Path(sys.argv[1]).read_text(encoding="utf-8")
    network = Network(**json.loads(text))
    relays = {}
    for plain in network.relays:
        settings = RelaySettings(**plain)
        relays[settings.name] = Relay(settings)
    app = falcon.App()
    app.add_route("/control", ControlResource(relays))
    servers.server(network.control_address, app).serve_forever()


if __name__ == "__main__":
    main()
