"""A host that is cut off from the store catches up from another one."""

import random

import pytest
from gevent.server import StreamServer
from sardinewheel_gateway import clock
from sardinewheel_gateway.http_server import HttpServer
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.policy.hosts import HostBook
from sardinewheel_gateway.policy.snapshots import Positions
from sardinewheel_gateway.relay import SNAPSHOT_PATH, Relay, encode

from tests.gateway.policy.test_hosts import state
from tests.gateway.policy.test_snapshots import SNAPSHOT


def serve_snapshot(exchange):
    assert exchange.head.path == SNAPSHOT_PATH
    exchange.respond(200, [], encode(SNAPSHOT))


@pytest.fixture
def peer():
    server = HttpServer(("127.0.0.1", 0), serve_snapshot, Log(host="peer"))
    server.start()
    yield server
    server.listener.stop()


NOTHING_HEARD = Positions()


def relay_to(port, *, own=NOTHING_HEARD, theirs=SNAPSHOT.positions):
    book = HostBook(state("a", positions=own))
    known = state("b", control=f"127.0.0.1:{port}", positions=theirs)
    book.hear(known, now=clock.steady())
    applied = []
    made = Relay(
        book,
        lambda snapshot, name: applied.append((snapshot, name)),
        Log(host="a"),
        random.Random(7),
    )
    made.sources_lost.add("op")
    return made, applied


def test_a_snapshot_of_a_host_that_is_ahead_is_applied(peer):
    made, applied = relay_to(peer.listener.server_port)
    made.step()
    assert applied == [(SNAPSHOT, "b")]


def test_nothing_is_asked_while_the_store_answers(peer):
    made, applied = relay_to(peer.listener.server_port)
    made.sources_lost.clear()
    made.step()
    assert applied == []


def test_a_host_that_is_not_ahead_is_not_asked(peer):
    made, applied = relay_to(peer.listener.server_port, own=Positions(7, 9))
    made.step()
    assert applied == []


def test_an_answer_that_is_no_snapshot_is_logged_and_dropped():
    def babble(sock, _address):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n\xff\xff")

    server = StreamServer(("127.0.0.1", 0), babble)
    server.start()
    made, applied = relay_to(server.server_port)
    made.step()
    assert applied == []
    assert "snapshot-not-received" in made.log.lines[-1]
    server.stop()
