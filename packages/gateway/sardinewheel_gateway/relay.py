"""Passes news of the store on between the hosts of a region.

Hosts that follow the store push small updates as datagrams. A host that
notices by heartbeats that it missed something asks one that is ahead.
"""

import random
from collections.abc import Callable

import cbor2
import gevent
from gevent.event import Event

from sardinewheel_gateway import clock, http_client
from sardinewheel_gateway.errors import AnswerLostError, NotSentError
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.policy.hosts import HostState, StoreAccess
from sardinewheel_gateway.policy.updates import (
    Positions,
    Update,
    from_plain,
    to_plain,
)

UPDATE_PATH = b"/v1/update"
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.4
INTERVAL_S = 0.5
SETTLE_S = 0.05
STORE_LAG_S = 1.2
# By then a host of the region has read the store, if it can be read.
FAR_START_WAIT_S = 0.8
MAX_PUSH_BYTES = 1300
OK = 200


class Relay:
    """Tells other hosts what is new, and asks them for what was missed.

    Attributes:
        gossip: Datagrams to the other hosts.
        on_lag: Called when the store is late with what others know.
        ahead_since: Since when others know more though this host follows the
            store.
        started_at: When this host started, on the steady clock.
    """

    def __init__(
        self,
        gossip: Gossip,
        *,
        apply_update: Callable[[Update, str], None],
        log,
        rng: random.Random,
        on_lag: Callable[[], None],
    ):
        self.gossip = gossip
        self.host_table = gossip.host_table
        self.apply_update = apply_update
        self.on_lag = on_lag
        self.ahead_since: float | None = None
        self.started_at = clock.steady()
        self.log = log
        self.rng = rng
        self.hint = Event()

    def run(self) -> None:
        """Catches up whenever this host is behind, for ever."""
        while True:
            self.hint.wait(INTERVAL_S)
            self.hint.clear()
            gevent.sleep(SETTLE_S)
            self.step()

    def push(self, update: Update) -> None:
        """Sends an update to the hosts of this region, if it is small.

        Of a larger one they learn by the next heartbeat, and ask for it.
        """
        data = cbor2.dumps(to_plain(update))
        if len(data) <= MAX_PUSH_BYTES:
            self.gossip.send_update(data)
        else:
            self.gossip.beat(is_far_due=False)

    def step(self) -> None:
        """Catches up once, if another host is ahead."""
        ahead = self._ahead()
        if not ahead:
            self.ahead_since = None
            return
        if self._waits_for_store():
            return
        peer = self.rng.choice(ahead)
        try:
            update = self._ask(peer)
        except (
            NotSentError,
            AnswerLostError,
            ValueError,
            cbor2.CBORDecodeError,
        ) as error:
            self.log.warning("update-not-received", peer=peer.name, error=error)
            return
        self.apply_update(update, peer.name)

    def _waits_for_store(self) -> bool:
        """Says whether the store itself will tell soon what others know."""
        if self.host_table.own.store is not StoreAccess.FOLLOWING:
            return False
        now = clock.steady()
        if self.ahead_since is None:
            self.ahead_since = now
        if now - self.ahead_since < STORE_LAG_S:
            return True
        self.on_lag()
        return False

    def _ahead(self) -> list[HostState]:
        """Returns live hosts that know more, those of this region first.

        A host that has just started knows nothing, and what it would be told
        is large: it gives its region time before it asks another one.
        """
        own = self.host_table.own
        now = clock.steady()
        others = self.host_table.live(now=now)[1:]
        ahead = [p for p in others if is_ahead(p.positions, own.positions)]
        near = [peer for peer in ahead if peer.region == own.region]
        is_starting = now - self.started_at < FAR_START_WAIT_S
        if not near and is_starting and own.positions == Positions():
            return []
        found = near or ahead
        newest = max((sum(peer.positions) for peer in found), default=0)
        return [peer for peer in found if sum(peer.positions) == newest]

    def _ask(self, peer: HostState) -> Update:
        own = self.host_table.own.positions
        path = f"?operators={own.operators}&targets={own.targets}"
        outgoing = http_client.Outgoing(
            b"GET",
            UPDATE_PATH + path.encode(),
            [(b"host", peer.control.encode())],
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


def asked_positions(path: bytes) -> Positions | None:
    """Returns the positions in the path of a question for an update.

    Examples:
        >>> asked_positions(b"/v1/update?operators=3&targets=-1")
        Positions(operators=3, targets=-1)
        >>> asked_positions(b"/v1/other") is None
        True
    """
    plain, _, query = path.decode("latin-1").partition("?")
    if plain != UPDATE_PATH.decode():
        return None
    try:
        pairs = dict(pair.split("=", 1) for pair in query.split("&"))
        return Positions(int(pairs["operators"]), int(pairs["targets"]))
    except (ValueError, KeyError):
        return Positions()
