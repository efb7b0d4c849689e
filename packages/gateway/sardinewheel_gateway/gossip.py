"""UDP datagrams between hosts: heartbeats and small updates.

A host sends its state at short intervals to the hosts of its region and at
longer intervals to those of other regions. It replies to a heartbeat of a new
or changed host with the hosts that it knows, so that one exchange of datagrams
is enough to join.
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
MAX_HOSTS_IN_HEARTBEAT = 8
DECODE_ERRORS = (ValueError, TypeError, LookupError, cbor2.CBORDecodeError)
HEARTBEAT = 1
UPDATE = 2
OBJECTS = 3
COMPACT_HEARTBEAT = 4
INITIAL_FULL_HEARTBEATS = 10
MAX_OBJECTS_PER_DATAGRAM = 30


class Gossip:
    """Sends and receives datagrams.

    Attributes:
        host_table: State of all known hosts.
        seeds: Addresses of the first hosts to contact.
        on_update: Called with an update and the name of the sending host.
        on_heartbeat: Called with the sender after a heartbeat was processed.
        on_objects: Called with the object uses that another host reported.
    """

    def __init__(
        self, address: str, host_table: HostTable, seeds: list[str], log
    ):
        self.host_table = host_table
        self.seeds = seeds
        self.log = log
        self.on_update: Callable[[Update, str], None] = _do_nothing
        self.on_heartbeat: Callable[[HostState], None] = _do_nothing
        self.on_objects: Callable[[list[ObjectUse]], None] = _do_nothing
        host, _, port = address.rpartition(":")
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, int(port)))
        self.tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Starts the receiving and the heartbeat greenlets."""
        self.tasks = [
            keep_running("listen", self._listen, self.log),
            keep_running("beat", self._send_heartbeats_forever, self.log),
        ]

    def stop(self) -> None:
        """Stops both greenlets without notifying the other hosts."""
        gevent.killall(self.tasks)
        self.sock.close()

    def send_heartbeat(
        self,
        *,
        includes_other_regions: bool = True,
        same_region: list[HostState] | None = None,
        other_regions: list[HostState] | None = None,
    ) -> None:
        """Sends this host's state to the known hosts.

        A heartbeat to this region only is a ``CompactHeartbeat``, except for
        the first ``INITIAL_FULL_HEARTBEATS``.

        Args:
            includes_other_regions: Whether to send to other regions too.
            same_region: Receivers in this region; all if None.
            other_regions: Receivers in other regions; all if None.
        """
        own = self.host_table.own
        own = self.host_table.own = own._replace(sequence=own.sequence + 1)
        is_full = (
            own.sequence <= INITIAL_FULL_HEARTBEATS or includes_other_regions
        )
        message = _heartbeat(own, []) if is_full else _compact_heartbeat(own)
        data = cbor2.dumps(message)
        chosen = (
            self.host_table.same_region_hosts()
            if same_region is None
            else same_region
        )
        addresses = {host.gossip for host in chosen}
        if includes_other_regions:
            chosen = (
                self.host_table.cross_region_hosts()
                if other_regions is None
                else other_regions
            )
            addresses |= {host.gossip for host in chosen}
            addresses |= set(self.seeds) - {own.gossip}
        for address in addresses:
            self._send(address, data)

    def notify_cross_region_followers(self) -> None:
        """Sends this host's positions to store followers in other regions.

        A follower whose own positions are behind detects its lag this way.
        """
        own = self.host_table.own
        own = self.host_table.own = own._replace(sequence=own.sequence + 1)
        data = cbor2.dumps(_compact_heartbeat(own))
        for host in self.host_table.cross_region_followers():
            self._send(host.gossip, data)

    def update_own_state(
        self,
        *,
        is_ready: bool | None = None,
        store: StoreAccess | None = None,
    ) -> None:
        """Updates this host's state and sends a change immediately."""
        own = self.host_table.own
        changed = own
        if is_ready is not None:
            changed = changed._replace(is_ready=is_ready)
        if store is not None:
            changed = changed._replace(store=store)
        if changed != own:
            self.host_table.own = changed
            self.send_heartbeat(
                includes_other_regions=changed.is_ready != own.is_ready
            )

    def set_positions(self, positions: Positions) -> None:
        """Sets this host's store positions for the next heartbeat."""
        self.host_table.own = self.host_table.own._replace(positions=positions)

    def send_update(self, data: bytes) -> None:
        """Sends an encoded update to the hosts of this region."""
        message = cbor2.dumps([UPDATE, self.host_table.own.name, data])
        for address in self._same_region_addresses():
            self._send(address, message)

    def send_objects(self, uses: list[ObjectUse]) -> None:
        """Sends newly observed object uses to the hosts of this region."""
        step = MAX_OBJECTS_PER_DATAGRAM
        for start in range(0, len(uses), step):
            plain = [tuple(use) for use in uses[start : start + step]]
            data = cbor2.dumps([OBJECTS, plain])
            for address in self._same_region_addresses():
                self._send(address, data)

    def _same_region_addresses(self) -> set[str]:
        return {host.gossip for host in self.host_table.same_region_hosts()}

    def _send_heartbeats_forever(self) -> None:
        count = 0
        while True:
            now = clock.steady()
            self.send_heartbeat(
                includes_other_regions=count % CROSS_REGION_EVERY == 0,
                same_region=same_region_recipients(
                    self.host_table, count, now=now
                ),
                other_regions=cross_region_recipients(
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
                self._handle_datagram(cbor2.loads(data))
            except DECODE_ERRORS as error:
                self.log.warning("datagram-unreadable", error=repr(error))

    def _handle_datagram(self, message: list) -> None:
        kind = message[0]
        if kind == HEARTBEAT:
            _, state, known_hosts = message
            self._handle_heartbeat(_decode_state(state), known_hosts)
        elif kind == COMPACT_HEARTBEAT:
            compact = CompactHeartbeat(*message[1])
            state = self.host_table.expand_heartbeat(compact)
            if state is not None:
                self._handle_heartbeat(_decode_state(state), [])
        elif kind == UPDATE:
            _, name, data = message
            self.on_update(from_plain(cbor2.loads(data)), name)
        elif kind == OBJECTS:
            self.on_objects([ObjectUse(*use) for use in message[1]])

    def _handle_heartbeat(self, sender: HostState, known_hosts: list) -> None:
        now = clock.steady()
        is_new = self.host_table.record_heartbeat(sender, now=now)
        for plain in known_hosts:
            self.host_table.add_discovered(_decode_state(plain), now=now)
        if is_new:
            self._log_discovered_host(sender)
            if not known_hosts:
                self._send_known_hosts(sender)
        self.on_heartbeat(sender)

    def _send_known_hosts(self, sender: HostState) -> None:
        others = [
            peer.state
            for peer in self.host_table.peers.values()
            if peer.state.name != sender.name
        ]
        message = _heartbeat(
            self.host_table.own, others[:MAX_HOSTS_IN_HEARTBEAT]
        )
        self._send(sender.gossip, cbor2.dumps(message))

    def _log_discovered_host(self, state: HostState) -> None:
        self.log.info(
            "host-heard",
            peer=state.name,
            incarnation=state.incarnation,
            ready=state.is_ready,
            store=state.store.name,
        )


def _heartbeat(own: HostState, known_hosts: list[HostState]) -> list:
    return [HEARTBEAT, tuple(own), [tuple(x) for x in known_hosts]]


def _compact_heartbeat(own: HostState) -> list:
    return [COMPACT_HEARTBEAT, tuple(CompactHeartbeat.of(own))]


def _decode_state(plain: list) -> HostState:
    state = HostState(*plain)
    return state._replace(
        positions=Positions(*state.positions),
        store=StoreAccess(state.store),
    )


def _do_nothing(*_args) -> None:
    """Default callback; does nothing."""
