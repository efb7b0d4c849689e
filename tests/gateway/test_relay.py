"""A host that is behind requests updates from another host."""

import random

import cbor2
import pytest
from gevent.server import StreamServer
from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.http_server import HttpServer
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.policy.hosts import HostTable, StoreAccess
from sardinewheel_gateway.policy.updates import Positions, to_plain
from sardinewheel_gateway.relay import (
    CROSS_REGION_START_DELAY_S,
    MAX_BODY_BYTES,
    MAX_LAG_S,
    Relay,
    requested_positions,
)

from tests.gateway.policy.test_hosts import state
from tests.gateway.policy.test_updates import UPDATE

AHEAD = Positions(7, 9)
NO_UPDATES = Positions()


def serve_update(exchange):
    assert requested_positions(exchange.head.path) == NO_UPDATES
    exchange.respond(200, [], cbor2.dumps(to_plain(UPDATE)))


@pytest.fixture
def peer():
    server = HttpServer(("127.0.0.1", 0), serve_update, Log(host="peer"))
    server.start()
    yield server
    server.listener.stop()


@pytest.fixture
def relay_to():
    created = []

    def make(port, *, own=NO_UPDATES, store=StoreAccess.IDLE, region="north"):
        host_table = HostTable(state("a", positions=own, store=store))
        peer_state = state(
            "b",
            control=f"127.0.0.1:{port}",
            positions=AHEAD,
            region=region,
        )
        host_table.record_heartbeat(peer_state, now=clock.steady())
        applied = []
        gossip = Gossip("127.0.0.1:0", host_table, [], Log(host="a"))
        created.append(gossip)
        relay = Relay(
            gossip,
            apply_update=lambda update, name: applied.append((update, name)),
            log=Log(host="a"),
            rng=random.Random(7),
            on_lag=lambda: applied.append("lag"),
        )
        return relay, applied

    yield make
    for gossip in created:
        gossip.stop()


def test_an_update_of_a_host_that_is_ahead_is_applied(peer, relay_to):
    relay, applied = relay_to(peer.listener.server_port)
    relay.catch_up()
    assert applied == [(UPDATE, "b")]


def test_starting_host_waits_before_it_queries_another_region(peer, relay_to):
    relay, applied = relay_to(peer.listener.server_port, region="south")
    relay.catch_up()
    assert applied == []
    relay.started_at -= CROSS_REGION_START_DELAY_S
    relay.catch_up()
    assert applied == [(UPDATE, "b")]


def test_store_follower_waits_for_the_store_before_it_queries_a_host(
    peer, relay_to
):
    relay, applied = relay_to(
        peer.listener.server_port, store=StoreAccess.FOLLOWING
    )
    relay.catch_up()
    assert applied == []
    relay.ahead_since -= 2.0
    relay.catch_up()
    assert applied == ["lag", (UPDATE, "b")]


def test_store_follower_that_receives_changes_is_not_behind(peer, relay_to):
    relay, applied = relay_to(
        peer.listener.server_port, store=StoreAccess.FOLLOWING
    )
    table = relay.host_table
    for step in range(10):
        ahead = Positions(7, 9 + step)
        peer_state = table.peers["b"].state
        table.peers["b"].state = peer_state._replace(positions=ahead)
        relay.catch_up()
        table.own = table.own._replace(positions=ahead)
        relay.ahead_since -= 0.5
    assert applied == []


def test_host_that_is_not_ahead_is_not_queried(peer, relay_to):
    relay, applied = relay_to(peer.listener.server_port, own=AHEAD)
    relay.catch_up()
    assert applied == []


def test_invalid_update_response_is_logged_and_dropped(relay_to):
    def send_invalid_update(sock, _address):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\xff\xff")

    server = StreamServer(("127.0.0.1", 0), send_invalid_update)
    server.start()
    relay, applied = relay_to(server.server_port)
    relay.catch_up()
    assert applied == []
    assert "update-not-received" in relay.log.lines[-1]
    server.stop()


def test_an_update_without_end_is_not_received(relay_to):
    sent = []

    def send_endless_body(sock, _address):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            sock.sendall(b"10000\r\n" + b"x" * 65536 + b"\r\n")
            sent.append(65536)

    server = StreamServer(("127.0.0.1", 0), send_endless_body)
    server.start()
    relay, applied = relay_to(server.server_port)
    relay.catch_up()
    assert applied == []
    assert "the body exceeds" in relay.log.lines[-1]
    assert sum(sent) < 2 * MAX_BODY_BYTES
    server.stop()


def test_another_host_is_asked_after_one_that_sends_no_updates(peer, relay_to):
    refusing = HttpServer(
        ("127.0.0.1", 0),
        lambda exchange: exchange.respond(500, [], b""),
        Log(host="c"),
    )
    refusing.start()
    relay, applied = relay_to(peer.listener.server_port)
    newest = state(
        "c",
        control=f"127.0.0.1:{refusing.listener.server_port}",
        positions=Positions(8, 10),
    )
    relay.host_table.record_heartbeat(newest, now=clock.steady())
    relay.catch_up()
    assert applied == []
    relay.catch_up()
    assert applied == [(UPDATE, "b")]
    refusing.listener.stop()


def test_a_long_lack_of_updates_is_logged_once_with_its_end(relay_to):
    relay, _ = relay_to(1)
    for _ in range(3):
        relay.catch_up()
        relay.behind_since -= MAX_LAG_S
    relay.host_table.own = relay.host_table.own._replace(positions=AHEAD)
    relay.catch_up()
    events = [line.split("event=")[1].split()[0] for line in relay.log.lines]
    assert [x for x in events if x.startswith("updates-")] == [
        "updates-missing",
        "updates-complete",
    ]
