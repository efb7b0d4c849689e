"""Distributes store updates between hosts.

Hosts that follow the store push small updates as datagrams. A host whose
positions are behind those in heartbeats requests the update from a host that
is ahead.
"""

import random
from collections.abc import Callable

import cbor2
import gevent
from gevent.event import Event

from sardinewheel_gateway import clock, http_client
from sardinewheel_gateway.errors import NotSentError, ResponseLostError
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.policy.hosts import HostState, StoreAccess
from sardinewheel_gateway.policy.updates import (
    Positions,
    Update,
    from_plain,
    to_plain,
)
from sardinewheel_gateway.policy.wire import decode_cbor

UPDATE_PATH = b"/v1/update"
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.4
CATCH_UP_INTERVAL_S = 0.5
CATCH_UP_DELAY_S = 0.05
MAX_STORE_LAG_S = 1.2
# Time without the updates of other hosts after which it is logged.
MAX_LAG_S = 1.5
# Within this time a host of the region has read the store, if it is available.
CROSS_REGION_START_DELAY_S = 0.8
# Time in which other hosts are asked instead of one that failed.
FAILED_HOST_PAUSE_S = 2.0
MAX_PUSH_BYTES = 1300
MAX_BODY_BYTES = 16 * 1024 * 1024
OK = 200


class Relay:
    """Pushes new updates to other hosts and requests missed ones.

    Attributes:
        gossip: Sends datagrams to the other hosts.
        on_lag: Called when another host has been ahead of this store
            follower for ``MAX_STORE_LAG_S``.
        ahead_since: Time since which this host, although it follows the
            store, waits for changes that another host has; None if it does not.
        awaited: Positions of those changes.
        started_at: Time at which this host started, on the monotonic clock.
        failed_at: Time at which a host last sent no valid update, by name.
        behind_since: Time since which another host has been ahead, if one is.
        is_lag_logged: Whether that was logged.
        wakeup: Set to run a check before ``CATCH_UP_INTERVAL_S`` is over.
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
        self.awaited = Positions()
        self.failed_at: dict[str, float] = {}
        self.behind_since: float | None = None
        self.is_lag_logged = False
        self.started_at = clock.steady()
        self.log = log
        self.rng = rng
        self.wakeup = Event()

    def run(self) -> None:
        """Requests updates whenever this host is behind; never returns."""
        while True:
            self.wakeup.wait(CATCH_UP_INTERVAL_S)
            self.wakeup.clear()
            gevent.sleep(CATCH_UP_DELAY_S)
            self.catch_up()

    def push(self, update: Update) -> None:
        """Sends an update to the hosts of this region.

        An update that does not fit in a datagram is announced by a heartbeat,
        and the hosts request it.
        """
        data = cbor2.dumps(to_plain(update))
        if len(data) <= MAX_PUSH_BYTES:
            self.gossip.send_update(data)
        else:
            self.gossip.announce_to_region()

    def catch_up(self) -> None:
        """Requests and applies one update if another host is ahead."""
        ahead = self._hosts_ahead()
        self._track_lag(bool(ahead))
        if not ahead:
            self.ahead_since = None
            return
        if self._waits_for_store(ahead):
            return
        peer = self.rng.choice(ahead)
        try:
            update = self._request_update(peer)
        except (NotSentError, ResponseLostError, ValueError) as error:
            self.failed_at[peer.name] = clock.steady()
            self.log.warning("update-not-received", peer=peer.name, error=error)
            return
        self.failed_at.pop(peer.name, None)
        self.apply_update(update, peer.name)

    def behind_s(self) -> float:
        """Returns the seconds for which another host has been ahead."""
        if self.behind_since is None:
            return 0.0
        return clock.steady() - self.behind_since

    def _track_lag(self, is_behind: bool) -> None:
        """Logs when this host lacks updates for long, and when no more."""
        if not is_behind:
            if self.is_lag_logged:
                self.log.info("updates-complete", behind_s=self.behind_s())
            self.behind_since = None
            self.is_lag_logged = False
            return
        if self.behind_since is None:
            self.behind_since = clock.steady()
        if self.behind_s() >= MAX_LAG_S and not self.is_lag_logged:
            self.is_lag_logged = True
            own = self.host_table.own.positions
            self.log.warning(
                "updates-missing",
                behind_s=self.behind_s(),
                operators=own.operators,
                targets=own.targets,
            )

    def _waits_for_store(self, ahead: list[HostState]) -> bool:
        """Returns whether to wait for the store to send the update itself.

        While the store sends many changes, another follower is often ahead for
        a moment, so the wait begins anew once the awaited changes have arrived.
        """
        own = self.host_table.own
        if own.store is not StoreAccess.FOLLOWING:
            return False
        now = clock.steady()
        if self.ahead_since is None or not is_ahead(
            self.awaited, own.positions
        ):
            self.ahead_since = now
            self.awaited = newest_positions(ahead)
        if now - self.ahead_since < MAX_STORE_LAG_S:
            return True
        self.on_lag()
        return False

    def _hosts_ahead(self) -> list[HostState]:
        """Returns the live hosts with the newest positions ahead of this one.

        Hosts of this region are preferred, and those that did not fail just
        before. A host that has just started needs
        the whole state, which is large, so it waits for its own region during
        ``CROSS_REGION_START_DELAY_S`` before it queries another one.
        """
        own = self.host_table.own
        now = clock.steady()
        others = self.host_table.live(now=now)[1:]
        ahead = [p for p in others if is_ahead(p.positions, own.positions)]
        same_region = [peer for peer in ahead if peer.region == own.region]
        is_starting = now - self.started_at < CROSS_REGION_START_DELAY_S
        if not same_region and is_starting and own.positions == Positions():
            return []
        candidates = self._not_failed(same_region or ahead, now)
        newest = max((sum(peer.positions) for peer in candidates), default=0)
        return [peer for peer in candidates if sum(peer.positions) == newest]

    def _not_failed(
        self, hosts: list[HostState], now: float
    ) -> list[HostState]:
        """Returns the hosts without a recent failure, or all if all failed."""
        self.failed_at = {
            name: at
            for name, at in self.failed_at.items()
            if now - at < FAILED_HOST_PAUSE_S
        }
        return [x for x in hosts if x.name not in self.failed_at] or hosts

    def _request_update(self, peer: HostState) -> Update:
        own = self.host_table.own.positions
        path = f"?operators={own.operators}&targets={own.targets}"
        outgoing = http_client.OutgoingRequest(
            b"GET",
            UPDATE_PATH + path.encode(),
            [(b"host", peer.control.encode())],
        )
        timeout_error = ResponseLostError(
            f"no response within {CALL_TIMEOUT_S} s"
        )
        with gevent.Timeout(CALL_TIMEOUT_S, timeout_error):
            sock = http_client.connect(
                peer.control, timeout_s=CONNECT_TIMEOUT_S
            )
            exchange = http_client.ClientExchange(
                sock, lambda _: True, max_body_bytes=MAX_BODY_BYTES
            )
            try:
                response = exchange.run(outgoing)
                body = response.body + b"".join(response.rest or ())
            finally:
                exchange.close()
        if response.status != OK:
            raise ResponseLostError(f"status {response.status}")
        return from_plain(decode_cbor(body))


def is_ahead(theirs: Positions, own: Positions) -> bool:
    """Returns whether one position of ``theirs`` is beyond that of ``own``."""
    return theirs.operators > own.operators or theirs.targets > own.targets


def newest_positions(hosts: list[HostState]) -> Positions:
    """Returns the newest of the hosts' positions, each by itself."""
    return Positions(
        *map(max, *(host.positions for host in hosts), Positions())
    )


def requested_positions(path: bytes) -> Positions | None:
    """Returns the positions in the path of an update request.

    Examples:
        >>> requested_positions(b"/v1/update?operators=3&targets=-1")
        Positions(operators=3, targets=-1)
        >>> requested_positions(b"/v1/other") is None
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
