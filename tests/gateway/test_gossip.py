"""Host discovery and state exchange by datagrams."""

import contextlib

import cbor2
import gevent
import pytest
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.policy.hosts import HostTable, StoreAccess
from sardinewheel_gateway.policy.updates import Positions
from sardinewheel_gateway.policy.values import split_address

from tests.gateway.harness import wait_until
from tests.gateway.policy.test_hosts import state
from tests.odd_values import ANY_VALUE


def free_ports(count):
    socks = [
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)
    ]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def gossips(names, *, seed_count):
    """Returns one ``Gossip`` per name; the first ones are the seeds."""
    ports = free_ports(len(names))
    addresses = [f"127.0.0.1:{port}" for port in ports]
    return [
        Gossip(
            address,
            HostTable(state(name, gossip=address)),
            addresses[:seed_count],
            Log(host=name, level="debug"),
        )
        for name, address in zip(names, addresses, strict=True)
    ]


@pytest.fixture
def hosts():
    created = gossips("abc", seed_count=1)
    yield created
    for gossip in created:
        gossip.stop()


@pytest.fixture
def many_hosts():
    names = [f"h{number:02}" for number in range(40)]
    created = gossips(names, seed_count=3)
    yield created
    for gossip in created:
        gossip.stop()


def test_forty_hosts_that_start_at_once_all_know_each_other(many_hosts):
    for gossip in many_hosts:
        gossip.start()
    wait_until(
        lambda: all(len(g.host_table.peers) == 39 for g in many_hosts), 5.0
    )


def test_hosts_with_a_common_seed_discover_each_other(hosts):
    for gossip in hosts:
        gossip.start()
    wait_until(lambda: all(len(g.host_table.peers) == 2 for g in hosts))


def test_readiness_change_is_sent_immediately(hosts):
    for gossip in hosts:
        gossip.start()
    wait_until(lambda: all(len(g.host_table.peers) == 2 for g in hosts))
    hosts[1].update_own_state(is_ready=False)
    wait_until(lambda: not hosts[2].host_table.peers["b"].state.is_ready, 0.5)


def test_announcement_contains_the_changed_fields(hosts):
    for gossip in hosts:
        gossip.start()
    wait_until(lambda: all(len(g.host_table.peers) == 2 for g in hosts))
    own = hosts[1].host_table.own
    hosts[1].host_table.own = own._replace(sequence=100)
    hosts[1].set_positions(Positions(7, 9))
    hosts[1].announce_to_region()
    wait_until(
        lambda: hosts[2].host_table.peers["b"].state.positions == (7, 9), 0.2
    )
    assert hosts[2].host_table.peers["b"].state.front == own.front


def test_followers_in_other_regions_are_notified_immediately(hosts):
    this_host, other_follower, other_idle = (
        gossip.host_table for gossip in hosts
    )
    other_follower.own = other_follower.own._replace(
        region="south", store=StoreAccess.FOLLOWING
    )
    other_idle.own = other_idle.own._replace(region="south")
    for host_table in (this_host, other_follower, other_idle):
        for other in (this_host, other_follower, other_idle):
            host_table.record_heartbeat(other.own, now=clock.steady())
    for gossip in hosts[1:]:
        gossip.tasks = [gevent.spawn(gossip._listen)]
    hosts[0].set_positions(Positions(7, 9))
    hosts[0].notify_cross_region_followers()
    wait_until(lambda: other_follower.peers["a"].state.positions == (7, 9), 0.5)
    assert other_idle.peers["a"].state.positions != (7, 9)


def test_digest_of_an_unknown_incarnation_makes_it_known(hosts):
    for gossip in hosts:
        gossip.start()
    wait_until(lambda: all(len(g.host_table.peers) == 2 for g in hosts))
    table = hosts[1].host_table
    hosts[1].host_table.__init__(table.own._replace(incarnation=9))
    wait_until(lambda: hosts[2].host_table.peers["b"].state.incarnation == 9)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"\x83\x01\x02\x03",
        b"\x80",
        b"\x85\x05\x61a\x01\x01\x40",
        b"\x82\x06\x01",
        b"\x83\x07\x01\x02",
    ],
)
def test_invalid_datagram_is_ignored(hosts, data):
    hosts[0].start()
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    host, _, port = hosts[0].host_table.own.gossip.rpartition(":")
    sender.sendto(data, (host, int(port)))
    gevent.sleep(0.05)
    hosts[1].start()
    wait_until(lambda: "b" in hosts[0].host_table.peers, 0.5)
    sender.close()


ODD_DATAGRAMS = [
    b"",
    b"\xff",
    b"\x81" * 2000,
    bytes.fromhex("c11b7fffffffffffffff"),
    cbor2.dumps([]),
    cbor2.dumps({}),
    cbor2.dumps([[1]]),
    *(cbor2.dumps([kind, 10**400, float("nan"), "x"]) for kind in range(18)),
]


def test_datagrams_that_can_not_be_read_do_not_delay_the_next_one(hosts):
    receiver, sender, _ = hosts
    receiver.start()
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    address = split_address(receiver.host_table.own.gossip)
    for data in ODD_DATAGRAMS:
        sock.sendto(data, address)
    sender.start()
    wait_until(lambda: "b" in receiver.host_table.peers, 0.5)
    assert receiver.log.events["task-failed"] == 0
    lines = [x for x in receiver.log.lines if "datagram-unreadable" in x]
    assert 0 < len(lines) < len(ODD_DATAGRAMS) / 2


@given(st.integers(0, 17), st.lists(ANY_VALUE))
def test_any_message_leaves_the_state_of_hosts_usable(kind, fields):
    (gossip,) = gossips("a", seed_count=0)
    gossip._send = lambda *_: None
    # ``_listen`` counts it.
    with contextlib.suppress(Exception):
        gossip._handle_datagram([kind, *fields])
    gossip.protocol.tick(now=clock.steady())
    gossip.stop()


@pytest.mark.parametrize(
    "address", ["a.example:80", "10.0.0.1:99999", "\ud800"]
)
def test_an_address_that_needs_a_lookup_gets_no_datagram(hosts, address):
    hosts[0]._send(address, b"x")
    (line,) = hosts[0].log.lines
    assert "datagram-not-sent" in line
