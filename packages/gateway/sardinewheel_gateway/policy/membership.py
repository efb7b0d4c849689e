"""Membership protocol: how all hosts come to know all hosts.

Each heartbeat goes to a few random hosts and carries a digest: when its sender
last heard of every host of the region, and of a part of those of other regions.
News of a host spreads like an epidemic, in a time that grows with the logarithm
of the fleet, while the traffic of a host does not grow with the number of
heartbeats in the fleet. A host that does not know an entry of a digest requests
the full state from the sender. This is the dissemination of SWIM, with the ages
of heartbeats instead of suspicions.

The module performs no I/O: each step returns the datagrams to send.
"""

import math
import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import cbor2

from sardinewheel_gateway.policy import digests
from sardinewheel_gateway.policy.heartbeat_recipients import (
    cross_region_recipients,
    leading_recipients,
    same_region_recipients,
)
from sardinewheel_gateway.policy.hosts import (
    HEARTBEAT_INTERVAL_S,
    HOST_EXPIRY_S,
    HostState,
    HostTable,
    StoreAccess,
)
from sardinewheel_gateway.policy.updates import Positions
from sardinewheel_gateway.policy.values import check_number, check_text
from sardinewheel_gateway.policy.wire import from_fields

HEARTBEAT = 5
STATES = 6
STATE_REQUEST = 7
KINDS = (HEARTBEAT, STATES, STATE_REQUEST)
# Every nth heartbeat also goes to other regions.
CROSS_REGION_EVERY = 5
# Heartbeats after the start that also go to seeds and to other regions, as a
# host should become known before its first look-up is answered.
START_HEARTBEATS = 10
START_HEARTBEAT_INTERVAL_S = 0.2
# Entries per digest, so that a heartbeat fits in one datagram.
MAX_ENTRIES = 144
# Latest entries of hosts of the same region in a digest.
MAX_REGION_ENTRIES = 80
# More of them while hosts have been discovered within ``NEWS_S``.
MAX_NEWS_REGION_ENTRIES = 120
# Entries of hosts of other regions in a digest for the same region, besides
# those of hosts discovered within the last ``NEWS_S``.
CROSS_REGION_ENTRIES = 16
NEWS_S = 2.0
# Full states requested from the sender of one digest, so that a host with many
# unknown entries requests them from several hosts.
MAX_REQUESTED = 32
REQUEST_TIMEOUT_S = 0.15
STATES_PER_DATAGRAM = 7
# Hosts that receive the state of a new host as soon as it introduces itself.
INTRODUCTION_RECIPIENTS = 8


class Datagram(NamedTuple):
    """A datagram to send.

    Attributes:
        address: ``host:port`` of the recipient.
        data: The encoded message.
    """

    address: str
    data: bytes


class MembershipProtocol:
    """Sends and handles the messages of the membership protocol.

    Attributes:
        host_table: State of all known hosts.
        seeds: Addresses of the first hosts to contact.
        rng: Source of random recipients.
        on_heartbeat: Called with a host after a heartbeat of it arrived.
        on_discovered: Called with hosts that are new, restarted or back.
        heartbeats: Number of heartbeats sent.
        requested: Time of the request for a full state, by host id.
        discovered_at: Time at which a host was discovered, by its name, during
            ``NEWS_S``.
    """

    def __init__(
        self, host_table: HostTable, seeds: list[str], rng: random.Random
    ):
        self.host_table = host_table
        self.seeds = seeds
        self.rng = rng
        self.on_heartbeat: Callable[[HostState], None] = _do_nothing
        self.on_discovered: Callable[[list[HostState]], None] = _do_nothing
        self.heartbeats = 0
        self.requested: dict[int, float] = {}
        self.discovered_at: dict[str, float] = {}

    def tick(self, *, now: float) -> list[Datagram]:
        """Returns the datagrams of the next regular heartbeat."""
        number = self.heartbeats
        self.heartbeats += 1
        self._advance_sequence()
        region = same_region_recipients(self.host_table, self.rng, now=now)
        sent = self._send_digest(region, self._region_entries(now))
        leading = leading_recipients(self.host_table, now=now)
        sent += self._send_digest([x for x in leading if x not in region], [])
        if number < START_HEARTBEATS or number % CROSS_REGION_EVERY == 0:
            others = cross_region_recipients(self.host_table, self.rng)
            entries = self._own_region_entries(now)
            sent += self._send_digest(others, entries)
            sent += self._introduce(self._unconnected_seeds(now))
        self.host_table.expire(now=now)
        self.requested = _within(self.requested, REQUEST_TIMEOUT_S, now)
        self.discovered_at = _within(self.discovered_at, NEWS_S, now)
        return sent

    @property
    def interval_s(self) -> float:
        """Seconds until the next regular heartbeat; shorter after a start."""
        if self.heartbeats < START_HEARTBEATS:
            return START_HEARTBEAT_INTERVAL_S
        return HEARTBEAT_INTERVAL_S

    def announce(self, recipients: Iterable[HostState]) -> list[Datagram]:
        """Returns heartbeats without the status of other hosts.

        They tell a change of this host's own state without delay.
        """
        self._advance_sequence()
        return self._send_digest(recipients, [])

    def handle(self, message: list[Any], *, now: float) -> list[Datagram]:
        """Processes a received message; returns the replies.

        Raises:
            ValueError: The message is malformed; other decoding errors are
                ``TypeError`` and ``LookupError``.
        """
        match message:
            case [kind, address, operators, targets, digest, *_] if (
                kind == HEARTBEAT
            ):
                positions = from_fields(Positions, [operators, targets])
                check_text(address, "address")
                return self._handle_digest(address, positions, digest, now)
            case [kind, states, *_] if kind == STATES:
                return self._handle_states(states, now)
            case [kind, address, host_ids, *_] if kind == STATE_REQUEST:
                check_text(address, "address")
                return self._send_states(address, host_ids, now)
        raise ValueError(f"unknown message of kind {message[0]!r}")

    def _advance_sequence(self) -> None:
        own = self.host_table.own
        self.host_table.own = own._replace(sequence=own.sequence + 1)

    def _region_entries(self, now: float) -> list[digests.HostStatus]:
        """Returns the entries of a digest for hosts of this region."""
        entries = self._own_region_entries(now)
        hosts = self.host_table.cross_region_hosts()
        count = min(CROSS_REGION_ENTRIES, len(hosts))
        chosen = self.rng.sample(hosts, count)
        if self.discovered_at:
            news = [host for host in hosts if host.name in self.discovered_at]
            chosen = news + chosen
        entries += self.host_table.statuses(chosen, now=now)
        return entries[:MAX_ENTRIES]

    def _own_region_entries(self, now: float) -> list[digests.HostStatus]:
        """Returns the latest entries of the hosts of this region."""
        hosts = self.host_table.same_region_hosts()
        entries = self.host_table.statuses(hosts, now=now)
        entries.sort(key=lambda entry: entry.age_s)
        has_news = bool(self.discovered_at)
        return entries[
            : MAX_NEWS_REGION_ENTRIES if has_news else MAX_REGION_ENTRIES
        ]

    def _send_digest(
        self,
        recipients: Iterable[HostState],
        entries: list[digests.HostStatus],
    ) -> list[Datagram]:
        addresses = [host.gossip for host in recipients]
        if not addresses:
            return []
        own = self.host_table.own
        digest = digests.pack([self.host_table.own_status(), *entries])
        data = cbor2.dumps([HEARTBEAT, own.gossip, *own.positions, digest])
        return [Datagram(address, data) for address in addresses]

    def _introduce(self, addresses: Iterable[str]) -> list[Datagram]:
        """Returns datagrams with this host's full state."""
        data = cbor2.dumps([STATES, [[0.0, list(self.host_table.own)]]])
        return [Datagram(address, data) for address in addresses]

    def _unconnected_seeds(self, now: float) -> list[str]:
        """Returns the seeds that no live host is known to listen at."""
        live = {host.gossip for host in self.host_table.live(now=now)}
        return [seed for seed in self.seeds if seed not in live]

    def _handle_digest(
        self, address: str, positions: Positions, digest: bytes, now: float
    ) -> list[Datagram]:
        statuses = list(digests.unpack(digest))
        unknown = [
            status.host_id
            for status in statuses
            if not self.host_table.record_status(status, now=now)
        ]
        sender_id = statuses[0].host_id
        self.host_table.record_positions(sender_id, positions)
        sender = self.host_table.peers_by_id.get(sender_id)
        if sender is not None:
            self.on_heartbeat(sender.state)
        return self._request_states(address, unknown, now)

    def _request_states(
        self, address: str, unknown: list[int], now: float
    ) -> list[Datagram]:
        """Returns the request for the states of unknown hosts, if any."""
        due = [
            host_id
            for host_id in unknown
            if now - self.requested.get(host_id, -math.inf) > REQUEST_TIMEOUT_S
        ][:MAX_REQUESTED]
        if not due:
            return []
        self.requested.update(dict.fromkeys(due, now))
        own = self.host_table.own
        data = cbor2.dumps([STATE_REQUEST, own.gossip, due])
        return [Datagram(address, data)]

    def _handle_states(self, states: list, now: float) -> list[Datagram]:
        """Records full states; replies to new hosts with a digest of all."""
        discovered = []
        introduced = []
        for raw_age_s, plain, *_ in states:
            age_s = check_number(raw_age_s, "age")
            state = _decode_state(plain)
            if not self.host_table.record_heartbeat(
                state, now=now, age_s=age_s
            ):
                continue
            discovered.append(state)
            self.discovered_at[state.name] = now
            if age_s == 0.0:
                introduced.append(state)
        if discovered:
            self.on_discovered(discovered)
        sent = []
        for state in introduced:
            sent += self._send_all(state, now)
            sent += self._pass_on(state)
        return sent

    def _pass_on(self, introduced: HostState) -> list[Datagram]:
        """Returns the state of a new host, for random hosts of its region."""
        hosts = [
            peer.state
            for peer in self.host_table.peers.values()
            if peer.state.region == introduced.region
            and peer.state.name != introduced.name
        ]
        chosen = self.rng.sample(
            hosts, min(INTRODUCTION_RECIPIENTS, len(hosts))
        )
        plain = [[digests.AGE_UNIT_S, list(introduced)]]
        data = cbor2.dumps([STATES, plain])
        return [Datagram(host.gossip, data) for host in chosen]

    def _send_all(self, recipient: HostState, now: float) -> list[Datagram]:
        """Returns the digest of all live hosts, for a host that joins."""
        hosts = [
            peer.state
            for peer in self.host_table.peers.values()
            if peer.state.name != recipient.name
        ]
        self.rng.shuffle(hosts)
        entries = self.host_table.statuses(hosts, now=now)
        return [
            datagram
            for start in range(0, max(1, len(entries)), MAX_ENTRIES)
            for datagram in self._send_digest(
                [recipient], entries[start : start + MAX_ENTRIES]
            )
        ]

    def _send_states(
        self, address: str, host_ids: list[int], now: float
    ) -> list[Datagram]:
        """Returns the full states of the requested hosts."""
        states = []
        for host_id in host_ids:
            if host_id == self.host_table.own_id:
                states.append([0.0, list(self.host_table.own)])
                continue
            peer = self.host_table.peers_by_id.get(host_id)
            if peer is not None:
                age_s = max(now - peer.last_heartbeat_at, digests.AGE_UNIT_S)
                if age_s < HOST_EXPIRY_S:
                    state = peer.state._replace(sequence=peer.sequence)
                    states.append([round(age_s, 2), list(state)])
        step = STATES_PER_DATAGRAM
        return [
            Datagram(address, cbor2.dumps([STATES, states[i : i + step]]))
            for i in range(0, len(states), step)
        ]


def _within(times: dict, duration_s: float, now: float) -> dict:
    """Returns the times of the last ``duration_s``, by key."""
    return {key: at for key, at in times.items() if now - at < duration_s}


def _decode_state(plain: list) -> HostState:
    state = from_fields(HostState, plain)
    for name in ("name", "front", "gossip", "domain", "region"):
        check_text(getattr(state, name), name)
    return state._replace(
        positions=from_fields(Positions, state.positions),
        store=StoreAccess(state.store),
    )


def _do_nothing(*_args) -> None:
    """Default callback; does nothing."""
