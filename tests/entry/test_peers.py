"""Links between entry hosts.

Covers protocol versions, malformed frames, link reuse and unresponsive peers.
"""

import contextlib
import subprocess
import sys

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sardinewheel_core.codec import to_compact
from sardinewheel_core.errors import MessageError
from sardinewheel_core.messages import ChangesWanted, LoanReturned
from sardinewheel_entry import peers
from sardinewheel_entry.peers import Envelope, UnknownMessageError

WANTED = ChangesWanted(4)


def frame(**fields):
    plain = {"v": 1, "m": 0, "from": "a-1", "body": to_compact(WANTED)}
    return cbor2.dumps({**plain, **fields})


def test_message_round_trip_preserves_sender():
    data = peers.encode("a-1", WANTED, address="127.0.0.1:1")
    assert peers.decode(data) == Envelope("a-1", "127.0.0.1:1", WANTED)


def test_unknown_fields_of_newer_minor_versions_are_ignored():
    body = ["LoanReturned", *LoanReturned("r", 1), "of a newer version"]
    data = frame(m=7, body=body, future=[1, 2])
    assert peers.decode(data).message == LoanReturned("r", 1)


def test_unknown_message_of_a_newer_minor_version_has_its_own_error():
    with pytest.raises(UnknownMessageError):
        peers.decode(frame(m=7, body=["FromTheFuture", 1]))
    with pytest.raises(MessageError) as raised:
        peers.decode(frame(body=["FromTheFuture", 1]))
    assert not isinstance(raised.value, UnknownMessageError)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        "text",
        cbor2.dumps([]),
        cbor2.dumps({}),
        frame(v=2),
        frame(v="1"),
        frame(m="x"),
        frame(at=1),
        frame(body=None),
        frame(**{"from": b"a-1"}),
        b"\x81" * 100_000,
        bytes.fromhex("c482f5f5"),
        bytes.fromhex("c5821b7fffffffffffffff03"),
    ],
)
def test_malformed_frames_raise_message_errors(data):
    with pytest.raises(MessageError):
        peers.decode(data)


@settings(derandomize=True, max_examples=500, deadline=None)
@given(st.binary(max_size=64))
def test_arbitrary_bytes_raise_only_message_errors(data):
    with contextlib.suppress(MessageError):
        peers.decode(data)


SCRIPT_SETUP = """
from gevent import monkey
monkey.patch_all()
import gc, sys, socket
import gevent
from websockets.sync.client import connect
from sardinewheel_core.messages import ChangesWanted
from sardinewheel_entry import peers
from sardinewheel_testing.processes import free_address

a_address, b_address = free_address(), free_address()
inbox = []
a = peers.PeerLinks("a", lambda s, m: inbox.append((s, m)), address=a_address)
b = peers.PeerLinks("b", lambda s, m: inbox.append((s, m)), address=b_address)
for links, address in ((a, a_address), (b, b_address)):
    gevent.spawn(links.serve(address).serve_forever)

def wait_until(condition):
    with gevent.Timeout(20):
        while not condition():
            gevent.sleep(0.01)

def greenlets():
    gc.collect()
    return sum(1 for x in gc.get_objects()
               if isinstance(x, gevent.Greenlet) and not x.dead)

gevent.sleep(0.1)
before = greenlets()
"""


def run_script(script, tmp_path):
    path = tmp_path / "links.py"
    path.write_text(SCRIPT_SETUP + script, encoding="utf-8")
    return subprocess.run(
        [sys.executable, str(path)],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_link_is_bidirectional_and_closed_when_idle(tmp_path):
    script = """
peers.IDLE_TIMEOUT_S = 0.5
a.send(b_address, ChangesWanted(1))
wait_until(lambda: len(inbox) == 1)
assert a_address in b.links
b.send(a_address, ChangesWanted(2))
wait_until(lambda: len(inbox) == 2)
assert inbox == [("a", ChangesWanted(1)), ("b", ChangesWanted(2))]
assert b.counters.sent_bytes == a.counters.received_bytes > 0
wait_until(lambda: not a.links and not b.links)
wait_until(lambda: greenlets() <= before)
"""
    result = run_script(script, tmp_path)
    assert result.returncode == 0, result.stderr


def test_malformed_message_closes_only_its_connection(tmp_path):
    script = """
a.send(b_address, ChangesWanted(1))
wait_until(lambda: len(inbox) == 1)
for bad in (b"junk", b"x" * (peers.MAX_MESSAGE_BYTES + 1), "text"):
    with connect(f"ws://{b_address}", compression=None) as connection:
        connection.send(bad)
        try:
            connection.recv(timeout=10)
            sys.exit("not closed")
        except TimeoutError:
            sys.exit("not closed")
        except Exception:
            pass
a.send(b_address, ChangesWanted(2))
wait_until(lambda: len(inbox) == 2)
assert b.counters.refused_messages >= 2
"""
    result = run_script(script, tmp_path)
    assert result.returncode == 0, result.stderr
    assert result.stdout.count("peer-message-refused") >= 2


def test_unresponsive_link_is_replaced(tmp_path):
    """A link to a peer that accepts but never responds is closed."""
    script = """
peers.PING_INTERVAL_S = peers.PING_TIMEOUT_S = 0.3
host, port = free_address().split(":")
listener = socket.create_server((host, int(port)))
accepted = []
def accept():
    while True:
        accepted.append(listener.accept())
gevent.spawn(accept)
address = f"{host}:{port}"
a.send(address, ChangesWanted(1))
wait_until(lambda: address not in a.links)
a.send(address, ChangesWanted(2))
wait_until(lambda: len(accepted) == 2)
wait_until(lambda: address not in a.links)
accepted.clear()
wait_until(lambda: greenlets() <= before + 1)
"""
    result = run_script(script, tmp_path)
    assert result.returncode == 0, result.stderr


def test_frames_for_an_unreachable_peer_are_counted_as_dropped(tmp_path):
    script = """
unreachable = free_address()
for number in range(3):
    a.send(unreachable, ChangesWanted(number))
wait_until(lambda: not a.links)
assert a.counters.dropped_messages == 3, a.counters
"""
    result = run_script(script, tmp_path)
    assert result.returncode == 0, result.stderr


def test_frames_of_a_link_that_ends_are_counted_as_dropped(tmp_path):
    script = """
link = peers.Link()
for _ in range(peers.MAX_QUEUED_FRAMES):
    assert link.put(b"frame")
link.close()
assert link.discard() == peers.MAX_QUEUED_FRAMES
assert link.discard() == 0
"""
    result = run_script(script, tmp_path)
    assert result.returncode == 0, result.stderr
