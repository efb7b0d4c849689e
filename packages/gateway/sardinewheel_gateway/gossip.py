"""UDP datagrams between hosts.

They carry membership, small updates, object uses, targets' announcements,
permits for requests to targets that name a limit, news of requests that crash
targets, tokens for requests of limited client accounts, and loads of targets.
"""

import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import cbor2
import gevent
from gevent import socket

from sardinewheel_gateway import clock
from sardinewheel_gateway.policy import (
    announcements,
    known_objects,
    load_news,
    membership,
)
from sardinewheel_gateway.policy.announcements import Report
from sardinewheel_gateway.policy.hosts import (
    HostState,
    HostTable,
    StoreAccess,
)
from sardinewheel_gateway.policy.known_objects import KnownObject
from sardinewheel_gateway.policy.load_news import LoadItem
from sardinewheel_gateway.policy.membership import (
    Datagram,
    MembershipProtocol,
)
from sardinewheel_gateway.policy.objects import ObjectUse
from sardinewheel_gateway.policy.updates import (
    Positions,
    Update,
    from_plain,
)
from sardinewheel_gateway.policy.values import check_text, split_address
from sardinewheel_gateway.policy.wire import decode_cbor, from_fields
from sardinewheel_gateway.supervision import keep_running

MAX_DATAGRAM_BYTES = 2048
UPDATE = 2
OBJECTS = 3
ANNOUNCEMENTS = 8
PERMIT_REQUEST = 9
PERMIT = 10
CRASH_NEWS = 11
CRASH_REQUEST = 12
TOKEN_REQUEST = 13
TOKENS = 14
LOADS = 15
MAX_OBJECTS_PER_DATAGRAM = 30


class PermitRequest(NamedTuple):
    """A host asks the holder of a share for a permit.

    Attributes:
        address: ``host:port`` to respond to.
        number: Number of the request at the asking host.
        is_urgent: Whether it is for a request of a high priority.
        report: What the asking host knows of the limited target.
    """

    address: str
    number: int
    is_urgent: bool
    report: Report


class Permit(NamedTuple):
    """Response to a ``PermitRequest``.

    Attributes:
        number: Number of the request.
        wait_s: 0 if one request may be sent, else the seconds until the next
            permit.
    """

    number: int
    wait_s: float


class CrashNews(NamedTuple):
    """What a host tells of requests that crash targets.

    Attributes:
        name: Name of the host.
        items: The items, see ``policy.crash_news.to_plain``.
        is_complete: Whether it has sent all that it knows, as requested.
    """

    name: str
    items: list[list]
    is_complete: bool


class TokenRequest(NamedTuple):
    """A host asks a holder for tokens of a limited account.

    Attributes:
        address: ``host:port`` to respond to.
        number: Number of the request at the asking host.
        account: Name of the account.
        wanted: Number of tokens.
    """

    address: str
    number: int
    account: str
    wanted: int


class Tokens(NamedTuple):
    """Response to a ``TokenRequest``.

    Attributes:
        number: Number of the request.
        tokens: Number of tokens.
        wait_s: Seconds until the holder has the next token.
        life_s: Seconds from the request after which the tokens expire.
    """

    number: int
    tokens: int
    wait_s: float
    life_s: float


class Gossip:
    """Sends and receives datagrams.

    Attributes:
        host_table: State of all known hosts.
        protocol: Messages by which hosts come to know each other.
        on_update: Called with an update and the name of the sending host.
        on_objects: Called with the object uses that another host reported.
        on_announcements: Called with the announcements of targets that another
            host reported, and its name.
        on_permit_request: Called with another host's request for a permit.
        on_permit: Called with a holder's response to such a request.
        on_crash_news: Called with another host's news of requests that crash
            targets.
        on_crash_request: Called with the address of a host that requests them.
        on_token_request: Called with another host's request for tokens.
        on_tokens: Called with a holder's response to such a request.
        on_loads: Called with what another host tells of targets' loads and
            of the objects that they know, encoded by ``policy.load_news`` and
            ``policy.known_objects``.
    """

    def __init__(
        self, address: str, host_table: HostTable, seeds: list[str], log
    ):
        self.host_table = host_table
        self.protocol = MembershipProtocol(host_table, seeds, random.Random())
        self.protocol.on_discovered = self._log_discovered_hosts
        host_table.on_store_change = self._log_store_change
        self.log = log
        self.on_update: Callable[[Update, str], None] = _do_nothing
        self.on_objects: Callable[[list[ObjectUse]], None] = _do_nothing
        self.on_announcements: Callable[[list[Report], str], None] = _do_nothing
        self.on_permit_request: Callable[[PermitRequest], None] = _do_nothing
        self.on_permit: Callable[[Permit], None] = _do_nothing
        self.on_crash_news: Callable[[CrashNews], None] = _do_nothing
        self.on_crash_request: Callable[[str], None] = _do_nothing
        self.on_token_request: Callable[[TokenRequest], None] = _do_nothing
        self.on_tokens: Callable[[Tokens], None] = _do_nothing
        self.on_loads: Callable[[bytes, bytes], None] = _do_nothing
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

    def announce_to_region(self) -> None:
        """Sends this host's own state to the hosts of its region."""
        region = self.host_table.same_region_hosts()
        self._send_all(self.protocol.announce(region))

    def notify_cross_region_followers(self) -> None:
        """Sends this host's positions to store followers in other regions.

        A follower whose own positions are behind detects its lag this way.
        """
        followers = self.host_table.cross_region_followers()
        self._send_all(self.protocol.announce(followers))

    def update_own_state(
        self,
        *,
        is_ready: bool | None = None,
        store: StoreAccess | None = None,
        reaches_targets: bool | None = None,
    ) -> None:
        """Updates this host's state and sends a change immediately."""
        own = self.host_table.own
        changed = own
        if is_ready is not None:
            changed = changed._replace(is_ready=is_ready)
        if store is not None:
            changed = changed._replace(store=store)
        if reaches_targets is not None:
            changed = changed._replace(reaches_targets=reaches_targets)
        if changed != own:
            self.host_table.own = changed
            self.announce_to_region()

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

    def send_announcements(
        self, reports: list[Report], recipients: list[HostState]
    ) -> None:
        """Sends announcements of targets to the given hosts."""
        plain = announcements.to_plain(reports)
        name = self.host_table.own.name
        data = cbor2.dumps([ANNOUNCEMENTS, name, plain])
        for host in recipients:
            self._send(host.gossip, data)

    def send_permit_request(
        self, holder: HostState, request: PermitRequest
    ) -> None:
        """Asks the holder of a share for a permit."""
        *fields, report = request
        plain = announcements.to_plain([report])
        data = cbor2.dumps([PERMIT_REQUEST, *fields, plain])
        self._send(holder.gossip, data)

    def send_permit(self, address: str, permit: Permit) -> None:
        """Responds to a request for a permit."""
        self._send(address, cbor2.dumps([PERMIT, *permit]))

    def send_crash_news(
        self, message: CrashNews, addresses: Iterable[str]
    ) -> None:
        """Sends news of requests that crash targets."""
        data = cbor2.dumps([CRASH_NEWS, *message])
        for address in addresses:
            self._send(address, data)

    def send_crash_request(self, host: HostState) -> None:
        """Requests what another host knows of requests that crash targets."""
        data = cbor2.dumps([CRASH_REQUEST, self.host_table.own.gossip])
        self._send(host.gossip, data)

    def send_token_request(
        self, holder: HostState, request: TokenRequest
    ) -> None:
        """Asks a holder for tokens of a limited account."""
        self._send(holder.gossip, cbor2.dumps([TOKEN_REQUEST, *request]))

    def send_tokens(self, address: str, tokens: Tokens) -> None:
        """Responds to a request for tokens."""
        self._send(address, cbor2.dumps([TOKENS, *tokens]))

    def send_loads(
        self,
        items: list[LoadItem],
        objects: list[KnownObject],
        recipients: list[HostState],
        *,
        now: float,
    ) -> None:
        """Sends what this host has observed of targets."""
        data = cbor2.dumps(
            [LOADS, load_news.pack(items, now), known_objects.pack(objects)]
        )
        for host in recipients:
            self._send(host.gossip, data)

    def _same_region_addresses(self) -> set[str]:
        return {host.gossip for host in self.host_table.same_region_hosts()}

    def _send_heartbeats_forever(self) -> None:
        while True:
            self._send_all(self.protocol.tick(now=clock.steady()))
            gevent.sleep(self.protocol.interval_s)

    def _send_all(self, datagrams: Iterable[Datagram]) -> None:
        for address, data in datagrams:
            self._send(address, data)

    def _send(self, address: str, data: bytes) -> None:
        try:
            self.sock.sendto(data, split_address(address))
        except (OSError, ValueError) as error:
            self.log.debug("datagram-not-sent", to=address, error=error)

    def _listen(self) -> None:
        while True:
            data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                self._handle_datagram(decode_cbor(data))
            except Exception as error:
                # Whatever a datagram holds, the next one is received.
                self.log.warn_once(
                    "datagram-unreadable",
                    (sender, type(error)),
                    sender=sender[0],
                    error=repr(error),
                )

    def _handle_datagram(self, message: Any) -> None:
        if not isinstance(message, list) or not message:
            raise ValueError("not a list with a kind")
        kind = message[0]
        if kind in membership.KINDS:
            replies = self.protocol.handle(message, now=clock.steady())
            self._send_all(replies)
        elif kind == UPDATE:
            _, name, data, *_ = message
            update = from_plain(decode_cbor(data))
            self.on_update(update, check_text(name, "host"))
        elif kind == OBJECTS:
            self.on_objects([from_fields(ObjectUse, x) for x in message[1]])
        elif kind == ANNOUNCEMENTS:
            _, name, plain, *_ = message
            reports = announcements.from_plain(plain)
            self.on_announcements(reports, check_text(name, "host"))
        elif kind == PERMIT_REQUEST:
            request = from_fields(PermitRequest, message[1:])
            report, *_ = announcements.from_plain(request.report)
            self.on_permit_request(request._replace(report=report))
        elif kind == PERMIT:
            self.on_permit(from_fields(Permit, message[1:]))
        elif kind == CRASH_NEWS:
            self.on_crash_news(from_fields(CrashNews, message[1:]))
        elif kind == CRASH_REQUEST:
            _, address, *_ = message
            self.on_crash_request(check_text(address, "address"))
        elif kind == TOKEN_REQUEST:
            request = from_fields(TokenRequest, message[1:])
            self.on_token_request(request)
        elif kind == TOKENS:
            self.on_tokens(from_fields(Tokens, message[1:]))
        elif kind == LOADS:
            _, loads, objects, *_ = message
            self.on_loads(loads, objects)

    def _log_discovered_hosts(self, states: list[HostState]) -> None:
        self.log.info(
            "hosts-discovered",
            hosts=",".join(state.name for state in states),
            known=len(self.host_table.peers),
        )

    def _log_store_change(self, state: HostState) -> None:
        self.log.info(
            "host-store-changed", peer=state.name, store=state.store.name
        )


def _do_nothing(*_args) -> None:
    """Default callback; does nothing."""
