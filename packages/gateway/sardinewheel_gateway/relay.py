"""Catches up from another host while the store can't be reached."""

import random
from collections.abc import Callable

import cbor2
import gevent

from sardinewheel_gateway import clock, http_client
from sardinewheel_gateway.errors import AnswerLostError, NotSentError
from sardinewheel_gateway.policy.hosts import HostBook, HostState
from sardinewheel_gateway.policy.snapshots import (
    Positions,
    Snapshot,
    from_plain,
    to_plain,
)

SNAPSHOT_PATH = b"/v1/snapshot"
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.4
RETRY_S = 0.5
OK = 200


class Relay:
    """Asks other hosts for what this one missed.

    Attributes:
        book: The hosts that are known.
        sources_lost: Tables of the store that can't be read now.
    """

    def __init__(
        self,
        book: HostBook,
        apply_snapshot: Callable[[Snapshot, str], None],
        log,
        rng: random.Random,
    ):
        self.book = book
        self.apply_snapshot = apply_snapshot
        self.log = log
        self.rng = rng
        self.sources_lost: set[str] = set()

    def step(self) -> None:
        """Catches up once, if the store is away and another host is ahead."""
        if not self.sources_lost:
            return
        ahead = self._ahead()
        if not ahead:
            return
        peer = self.rng.choice(ahead)
        try:
            snapshot = self._ask(peer)
        except (
            NotSentError,
            AnswerLostError,
            ValueError,
            cbor2.CBORDecodeError,
        ) as error:
            self.log.warning(
                "snapshot-not-received", peer=peer.name, error=error
            )
            return
        self.apply_snapshot(snapshot, peer.name)

    def _ahead(self) -> list[HostState]:
        """Returns live hosts that know more, those that know most."""
        own = self.book.own.positions
        others = self.book.live(now=clock.steady())[1:]
        ahead = [peer for peer in others if is_ahead(peer.positions, own)]
        newest = max((sum(peer.positions) for peer in ahead), default=0)
        return [peer for peer in ahead if sum(peer.positions) == newest]

    def _ask(self, peer: HostState) -> Snapshot:
        outgoing = http_client.Outgoing(
            b"GET", SNAPSHOT_PATH, [(b"host", peer.control.encode())]
        )
        late = AnswerLostError("no answer in time")
        with gevent.Timeout(CALL_TIMEOUT_S, late):
            sock = http_client.connect(
                peer.control, timeout_s=CONNECT_TIMEOUT_S
            )
            exchange = http_client.ClientExchange(sock, lambda _: True)
            try:
                incoming = exchange.run(outgoing)
                body = incoming.body + b"".join(incoming.rest or ())
            finally:
                exchange.close()
        if incoming.status != OK:
            raise AnswerLostError(f"status {incoming.status}")
        return from_plain(cbor2.loads(body))


def is_ahead(theirs: Positions, own: Positions) -> bool:
    """Says whether a host knows something that this one doesn't."""
    return theirs.operators > own.operators or theirs.targets > own.targets


def encode(snapshot: Snapshot) -> bytes:
    """Returns a snapshot as bytes."""
    return cbor2.dumps(to_plain(snapshot))
