"""Heartbeats between hosts, as datagrams.

A host sends its state to the hosts that it knows. To a host that is new to it,
it also tells whom it knows, so that one answered datagram is enough to join.
"""

import cbor2
import gevent
from gevent import socket

from sardinewheel_gateway import clock
from sardinewheel_gateway.policy.hosts import HostBook, HostState
from sardinewheel_gateway.policy.snapshots import Positions
from sardinewheel_gateway.supervision import keep_running

INTERVAL_S = 1.0
MAX_DATAGRAM_BYTES = 1400
MAX_INTRODUCED = 8
FORMAT = 1


class Gossip:
    """Sends and takes heartbeats.

    Attributes:
        book: The hosts that are known.
    """

    def __init__(self, address: str, book: HostBook, seeds: list[str], log):
        self.book = book
        self.seeds = seeds
        self.log = log
        host, _, port = address.rpartition(":")
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, int(port)))
        self.tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Starts to send and to listen."""
        self.tasks = [
            keep_running("listen", self._listen, self.log),
            keep_running("beat", self._beat_forever, self.log),
        ]

    def stop(self) -> None:
        """Ends both, without a word to the other hosts."""
        gevent.killall(self.tasks)
        self.sock.close()

    def beat(self) -> None:
        """Sends this host's state to all that it knows."""
        own = self.book.own
        self.book.own = own._replace(sequence=own.sequence + 1)
        known = {peer.state.gossip for peer in self.book.peers.values()}
        for address in known.union(self.seeds) - {own.gossip}:
            self._send(address, introduced=[])

    def advance(self, positions: Positions) -> None:
        """Sets how far this host has heard; the next heartbeat tells it."""
        self.book.own = self.book.own._replace(positions=positions)

    def change(self, *, is_ready: bool) -> None:
        """Tells all hosts at once whether this one takes requests."""
        if self.book.own.is_ready != is_ready:
            self.book.own = self.book.own._replace(is_ready=is_ready)
            self.beat()

    def _beat_forever(self) -> None:
        while True:
            self.beat()
            self.book.expire(now=clock.steady())
            gevent.sleep(INTERVAL_S)

    def _send(self, address: str, introduced: list[HostState]) -> None:
        message = [FORMAT, tuple(self.book.own), [tuple(x) for x in introduced]]
        host, _, port = address.rpartition(":")
        try:
            self.sock.sendto(cbor2.dumps(message), (host, int(port)))
        except (OSError, ValueError) as error:
            self.log.debug("heartbeat-not-sent", to=address, error=error)

    def _listen(self) -> None:
        while True:
            data, _ = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                self._take(data)
            except (ValueError, TypeError, cbor2.CBORDecodeError) as error:
                self.log.warning("heartbeat-unreadable", error=repr(error))

    def _take(self, data: bytes) -> None:
        version, state, introduced = cbor2.loads(data)
        if version != FORMAT:
            return
        now = clock.steady()
        sender = _state(state)
        is_news = self.book.hear(sender, now=now)
        for plain in introduced:
            self.book.introduce(_state(plain), now=now)
        if is_news:
            self._log_news(sender)
            if not introduced:
                self._welcome(sender)

    def _welcome(self, sender: HostState) -> None:
        others = [
            peer.state
            for peer in self.book.peers.values()
            if peer.state.name != sender.name
        ]
        self._send(sender.gossip, introduced=others[:MAX_INTRODUCED])

    def _log_news(self, state: HostState) -> None:
        self.log.info(
            "host-heard",
            peer=state.name,
            incarnation=state.incarnation,
            ready=state.is_ready,
        )


def _state(plain: list) -> HostState:
    state = HostState(*plain)
    return state._replace(positions=Positions(*state.positions))
