"""Relays on loopback that stand between processes and harm what passes."""

import contextlib

import gevent
from gevent import socket
from gevent.server import StreamServer

READ_BYTES = 65536
DELAY_S = 0.1
CONNECT_TIMEOUT_S = 1.0
LOSS_SHARE = 0.3
MAX_DATAGRAM_DELAY_S = 1.0


class Link:
    """A relay of connections.

    Attributes:
        target: Where the connections lead to.
        mode: ``ok``, ``delay``, ``silent``, ``one_way`` or ``reset``.
        forgotten: Connections up to this number have gone silent for good.
    """

    def __init__(self, target_address, listen=("127.0.0.1", 0)):
        host, _, port = target_address.rpartition(":")
        self.target = (host, int(port))
        self.mode = "ok"
        self.opened = 0
        self.forgotten = 0
        self.server = StreamServer(listen, self._relay)
        self.server.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_port}"

    def forget(self):
        """Lets open connections go silent for good; new ones work."""
        self.forgotten = self.opened

    def _relay(self, sock, _address):
        self.opened += 1
        number = self.opened
        try:
            other = socket.create_connection(
                self.target, timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            sock.close()
            return
        other.settimeout(None)
        back = gevent.spawn(self._pump, other, sock, number, is_back=True)
        self._pump(sock, other, number, is_back=False)
        back.join(CONNECT_TIMEOUT_S)

    def _pump(self, source, sink, number, *, is_back):
        try:
            while data := source.recv(READ_BYTES):
                if self.mode == "delay":
                    gevent.sleep(DELAY_S)
                if self.mode == "reset":
                    break
                is_silent = self.mode == "silent" or number <= self.forgotten
                is_cut = self.mode == "one_way" and is_back
                if not is_silent and not is_cut:
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            for sock in (source, sink):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


class DatagramRelay:
    """A relay of the datagrams to one host.

    Attributes:
        modes: ``cut``, ``lossy`` or ``delay`` by the address that sends.
    """

    def __init__(self, listen, target, rng):
        self.target = target
        self.rng = rng
        self.modes = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(listen)
        self.task = gevent.spawn(self._relay_forever)

    def close(self):
        """Stops."""
        self.task.kill()
        self.sock.close()

    def _relay_forever(self):
        while True:
            try:
                data, (sender, _) = self.sock.recvfrom(READ_BYTES)
            except OSError:
                # The host behind was not listening to the last datagram.
                continue
            self._pass_on(data, self.modes.get(sender))

    def _pass_on(self, data, mode):
        if mode == "cut":
            return
        if mode == "lossy" and self.rng.random() < LOSS_SHARE:
            return
        if mode == "delay":
            delay_s = self.rng.uniform(0.0, MAX_DATAGRAM_DELAY_S)
            gevent.spawn_later(delay_s, self._send, data)
        else:
            self._send(data)

    def _send(self, data):
        with contextlib.suppress(OSError):
            self.sock.sendto(data, self.target)
