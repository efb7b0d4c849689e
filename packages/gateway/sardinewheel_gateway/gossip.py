"""Datagrams between hosts: heartbeats, and small updates.

A host sends its state often to the hosts of its region and more rarely to
those farther away. To a host that is new to it, it also tells whom it knows,
so that one answered datagram is enough to join.
"""

from collections.abc import Callable

import cbor2
import gevent
from gevent import socket

from sardinewheel_gateway import clock
from sardinewheel_gateway.policy.heartbeat_recipients import (
    cross_region_recipients,
    same_region_recipients,
)
from sardinewheel_gateway.policy.hosts import (
    CROSS_REGION_EVERY,
    HEARTBEAT_INTERVAL_S,
    CompactHeartbeat,
    HostState,
    HostTable,
    StoreAccess,
)
from sardinewheel_gateway.policy.objects import ObjectUse
from sardinewheel_gateway.policy.updates import (
    Positions,
    Update,
    from_plain,
)
from sardinewheel_gateway.supervision import keep_running

MAX_DATAGRAM_BYTES = 2048
MAX_INTRODUCED = 8
UNREADABLE = (ValueError, TypeError, LookupError, cbor2.CBORDecodeError)
HEARTBEAT = 1
UPDATE = 2
OBJECTS = 3
PULSE = 4
WHOLE_EVERY = 10
MAX_OBJECTS_PER_DATAGRAM = 30


class Gossip:
    """Sends and takes datagrams.

    Attributes:
        host_table: The hosts that are known.
        seeds: Addresses of hosts to begin with.
        on_update: Called with an update and the name of who sent it.
        on_heartbeat: Called with the sender after a heartbeat was taken.
        on_objects: Called with objects that another host found out.
    """

    def __init__(
        self, address: str, host_table: HostTable, seeds: list[str], log
    ):
        self.host_table = host_table
        self.seeds = seeds
        self.log = log
        self.on_update: Callable[[Update, str], None] = _ignore
        self.on_heartbeat: Callable[[HostState], None] = _ignore
        self.on_objects: Callable[[list[ObjectUse]], None] = _ignore
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

    def beat(
        self,
        *,
        is_far_due: bool = True,
        near: list[HostState] | None = None,
        far: list[HostState] | None = None,
    ) -> None:
        """Sends this host's state to the hosts that it knows.

        Near hosts mostly get the part that changes only.

        Args:
            is_far_due: Whether the hosts of other regions get it, too.
            near: Hosts of this region that get it; all if not given.
            far: Hosts of other regions that do; all if not given.
        """
        own = self.host_table.own
        own = self.host_table.own = own._replace(sequence=own.sequence + 1)
        is_whole = own.sequence <= WHOLE_EVERY or is_far_due
        message = _heartbeat(own, []) if is_whole else _pulse(own)
        data = cbor2.dumps(message)
        chosen = self.host_table.near() if near is None else near
        addresses = {host.gossip for host in chosen}
        if is_far_due:
            chosen = self.host_table.far() if far is None else far
            addresses |= {host.gossip for host in chosen}
            addresses |= set(self.seeds) - {own.gossip}
        for address in addresses:
            self._send(address, data)

    def tell_far_followers(self) -> None:
        """Tells followers in other regions how far this one has heard.

        One of them that hears less from the store notices by that.
        """
        own = self.host_table.own
        own = self.host_table.own = own._replace(sequence=own.sequence + 1)
        data = cbor2.dumps(_pulse(own))
        for host in self.host_table.cross_region_followers():
            self._send(host.gossip, data)

    def change(
        self,
        *,
        is_ready: bool | None = None,
        store: StoreAccess | None = None,
    ) -> None:
        """Tells hosts at once what has changed of this one."""
        own = self.host_table.own
        changed = own
        if is_ready is not None:
            changed = changed._replace(is_ready=is_ready)
        if store is not None:
            changed = changed._replace(store=store)
        if changed != own:
            self.host_table.own = changed
            self.beat(is_far_due=changed.is_ready != own.is_ready)

    def advance(self, positions: Positions) -> None:
        """Sets how far this host has heard; the next heartbeat tells it."""
        self.host_table.own = self.host_table.own._replace(positions=positions)

    def send_update(self, data: bytes) -> None:
        """Sends an encoded update to the hosts of this region."""
        message = cbor2.dumps([UPDATE, self.host_table.own.name, data])
        for address in self._near():
            self._send(address, message)

    def send_objects(self, uses: list[ObjectUse]) -> None:
        """Tells the hosts of this region which objects this one found out."""
        step = MAX_OBJECTS_PER_DATAGRAM
        for start in range(0, len(uses), step):
            plain = [tuple(use) for use in uses[start : start + step]]
            data = cbor2.dumps([OBJECTS, plain])
            for address in self._near():
                self._send(address, data)

    def _near(self) -> set[str]:
        return {host.gossip for host in self.host_table.near()}

    def _beat_forever(self) -> None:
        count = 0
        while True:
            now = clock.steady()
            self.beat(
                is_far_due=count % CROSS_REGION_EVERY == 0,
                near=same_region_recipients(self.host_table, count, now=now),
                far=cross_region_recipients(
                    self.host_table, count // CROSS_REGION_EVERY, now=now
                ),
            )
            self.host_table.expire(now=now)
            count += 1
            gevent.sleep(HEARTBEAT_INTERVAL_S)

    def _send(self, address: str, data: bytes) -> None:
        host, _, port = address.rpartition(":")
        try:
            self.sock.sendto(data, (host, int(port)))
        except (OSError, ValueError) as error:
            self.log.debug("datagram-not-sent", to=address, error=error)

    def _listen(self) -> None:
        while True:
            data, _ = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                self._take(cbor2.loads(data))
            except UNREADABLE as error:
                self.log.warning("datagram-unreadable", error=repr(error))

    def _take(self, message: list) -> None:
        kind = message[0]
        if kind == HEARTBEAT:
            _, state, introduced = message
            self._take_heartbeat(_state(state), introduced)
        elif kind == PULSE:
            pulse = CompactHeartbeat(*message[1])
            state = self.host_table.expand(pulse)
            if state is not None:
                self._take_heartbeat(_state(state), [])
        elif kind == UPDATE:
            _, name, data = message
            self.on_update(from_plain(cbor2.loads(data)), name)
        elif kind == OBJECTS:
            self.on_objects([ObjectUse(*use) for use in message[1]])

    def _take_heartbeat(self, sender: HostState, introduced: list) -> None:
        now = clock.steady()
        is_news = self.host_table.record_heartbeat(sender, now=now)
        for plain in introduced:
            self.host_table.add_unheard(_state(plain), now=now)
        if is_news:
            self._log_news(sender)
            if not introduced:
                self._welcome(sender)
        self.on_heartbeat(sender)

    def _welcome(self, sender: HostState) -> None:
        others = [
            peer.state
            for peer in self.host_table.peers.values()
            if peer.state.name != sender.name
        ]
        message = _heartbeat(self.host_table.own, others[:MAX_INTRODUCED])
        self._send(sender.gossip, cbor2.dumps(message))

    def _log_news(self, state: HostState) -> None:
        self.log.info(
            "host-heard",
            peer=state.name,
            incarnation=state.incarnation,
            ready=state.is_ready,
            store=state.store.name,
        )


def _heartbeat(own: HostState, introduced: list[HostState]) -> list:
    return [HEARTBEAT, tuple(own), [tuple(x) for x in introduced]]


def _pulse(own: HostState) -> list:
    return [PULSE, tuple(CompactHeartbeat.of(own))]


def _state(plain: list) -> HostState:
    state = HostState(*plain)
    return state._replace(
        positions=Positions(*state.positions),
        store=StoreAccess(state.store),
    )


def _ignore(*_args) -> None:
    """Stands in where nobody listens yet."""
