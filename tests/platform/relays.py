"""Loopback relays that inject network faults between processes."""

import contextlib
import struct

import gevent
from gevent import socket
from gevent.server import StreamServer

READ_BYTES = 65536
CONNECTION_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 1.0
BACKLOG = 256
NO_BACKLOG = 0
FILL_TIMEOUT_S = 0.05
MAX_FILLING = 16
LOSS_PROBABILITY = 0.3
MAX_DATAGRAM_DELAY_S = 1.0
# Values of SO_LINGER: on, for 0 s.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ConnectionRelay:
    """A relay of TCP connections.

    Attributes:
        target: Address that connections are forwarded to.
        mode: ``ok``, ``delay``, ``silent`` (drops all data), ``one_way``
            (drops data from the target) or ``reset``.
        accepted_count: Number of connections accepted so far.
        last_silenced: Connections with this number or a lower one drop all
            data.
        source_ip: Address that the target sees; any if empty.
        filling: Connections that fill the queue of the listener while new
            ones hang.
    """

    def __init__(
        self, target_address, listen=("127.0.0.1", 0), *, source_ip=""
    ):
        self.source_ip = source_ip
        host, _, port = target_address.rpartition(":")
        self.target = (host, int(port))
        self.mode = "ok"
        self.accepted_count = 0
        self.last_silenced = 0
        self.filling = []
        self.open_sockets = set()
        self.server = StreamServer(listen, self._relay, backlog=BACKLOG)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def silence_open_connections(self):
        """Drops all data of open connections from now on; new ones work."""
        self.last_silenced = self.accepted_count

    def hang_new(self):
        """Lets new connections hang: they are neither accepted nor refused.

        If they are refused already, they still are.
        """
        if self.server.closed:
            return
        self.server.stop_accepting()
        self.server.socket.listen(NO_BACKLOG)
        listener = (self.server.server_host, self.server.server_port)
        for _ in range(MAX_FILLING):
            try:
                sock = socket.create_connection(
                    listener, timeout=FILL_TIMEOUT_S
                )
            except OSError:
                return
            self.filling.append(sock)

    def refuse_new(self):
        """Refuses new connections; open ones live on."""
        self.server.close()

    def reset_open_connections(self):
        """Resets all open connections."""
        for sock in list(self.open_sockets):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()

    def accept_new(self):
        """Accepts new connections again."""
        for sock in self.filling:
            sock.close()
        self.filling.clear()
        if self.server.closed:
            address = (self.server.server_host, self.server.server_port)
            self.server = StreamServer(address, self._relay, backlog=BACKLOG)
            self.server.start()
        else:
            self.server.socket.listen(BACKLOG)
            self.server.start_accepting()

    def _relay(self, sock, _address):
        self.accepted_count += 1
        number = self.accepted_count
        self.open_sockets.add(sock)
        try:
            self._relay_connection(sock, number)
        finally:
            self.open_sockets.discard(sock)

    def _relay_connection(self, sock, number):
        try:
            other = socket.create_connection(
                self.target,
                timeout=CONNECT_TIMEOUT_S,
                source_address=(self.source_ip, 0) if self.source_ip else None,
            )
        except OSError:
            sock.close()
            return
        other.settimeout(None)
        return_path = gevent.spawn(
            self._forward, other, sock, number, is_return_path=True
        )
        self._forward(sock, other, number, is_return_path=False)
        return_path.join(CONNECT_TIMEOUT_S)

    def _forward(self, source, sink, number, *, is_return_path):
        try:
            while data := source.recv(READ_BYTES):
                if self.mode == "delay":
                    gevent.sleep(CONNECTION_DELAY_S)
                if self.mode == "reset":
                    break
                is_silent = (
                    self.mode == "silent" or number <= self.last_silenced
                )
                is_cut = self.mode == "one_way" and is_return_path
                if not is_silent and not is_cut:
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            for sock in (source, sink):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def host_relays(gateways, port):
    """Returns a relay of the connections to one port of each gateway."""
    return [
        ConnectionRelay(f"{gateway.ip}:{port}", (gateway.relay_ip, port))
        for gateway in gateways
    ]


class DatagramRelay:
    """A relay of the datagrams to one host.

    Attributes:
        modes: ``cut``, ``lossy`` or ``delay`` by address of the sender.
    """

    def __init__(self, listen, target, rng):
        self.target = target
        self.rng = rng
        self.modes = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(listen)
        self.task = gevent.spawn(self._relay_forever)

    def close(self):
        """Stops the relay."""
        self.task.kill()
        self.sock.close()

    def _relay_forever(self):
        while True:
            try:
                data, (sender, _) = self.sock.recvfrom(READ_BYTES)
            except OSError:
                # The destination port was closed for the last datagram.
                continue
            self._forward_datagram(data, self.modes.get(sender))

    def _forward_datagram(self, data, mode):
        if mode == "cut":
            return
        if mode == "lossy" and self.rng.random() < LOSS_PROBABILITY:
            return
        if mode == "delay":
            delay_s = self.rng.uniform(0.0, MAX_DATAGRAM_DELAY_S)
            gevent.spawn_later(delay_s, self._send, data)
        else:
            self._send(data)

    def _send(self, data):
        with contextlib.suppress(OSError):
            self.sock.sendto(data, self.target)
