"""Messages that landed builds sent are read by this one.

The files are named for the commit that wrote them.
"""

import json
from pathlib import Path

import cbor2
import pytest
from sardinewheel_gateway import peer_messages
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.messages import RequestHead
from sardinewheel_gateway.policy import crash_news
from sardinewheel_gateway.policy.hosts import HostTable
from sardinewheel_gateway.policy.updates import from_plain

from tests.gateway.policy.test_hosts import state

FILES = sorted((Path(__file__).parent / "recorded").glob("*.json"))
RECORDED = [(file.stem, json.loads(file.read_text())) for file in FILES]


@pytest.fixture
def received():
    """A host that keeps what it reads, by the name of the callback."""
    gossip = Gossip("127.0.0.1:0", HostTable(state("c")), [], Log(host="c"))
    gossip.sent, gossip.calls = [], {}
    gossip._send = lambda address, data: gossip.sent.append(data)
    for name in ("update", "objects", "announcements", "permit_request"):
        _keep(gossip, name)
    for name in ("permit", "crash_news", "crash_request"):
        _keep(gossip, name)
    yield gossip
    gossip.sock.close()


def _keep(gossip, name):
    def keep(*values):
        gossip.calls[name] = values

    setattr(gossip, f"on_{name}", keep)


@pytest.mark.parametrize(("build", "recorded"), RECORDED)
def test_datagrams_of_a_landed_build_are_read(received, build, recorded):
    def read(kind):
        received._handle_datagram(cbor2.loads(bytes.fromhex(recorded[kind])))

    read("states")
    assert received.host_table.peers["a"].state.positions == (3, 9)
    read("heartbeat")
    assert received.host_table.peers["a"].sequence == 8
    for kind in ("update", "objects", "announcements", "permit-request"):
        read(kind)
    read("permit")
    update, sender = received.calls["update"]
    assert (update.targets.after, sender) == (9, "a")
    assert received.calls["objects"][0] == list(update.objects)
    (report,) = received.calls["announcements"][0]
    assert received.calls["permit_request"][0].report == report
    assert received.calls["permit"] == ((4, 0.25),)


@pytest.mark.parametrize(("build", "recorded"), RECORDED)
def test_an_update_of_a_landed_build_is_read(build, recorded):
    plain = cbor2.loads(bytes.fromhex(recorded["update-body"]))
    update = from_plain(plain)
    assert update.operators.configuration.routes[0].name == "orders"
    assert [change.position for change in update.targets.changes] == [8, 9]


@pytest.mark.parametrize(
    ("build", "recorded"), [x for x in RECORDED if "crash-news" in x[1]]
)
def test_news_of_crashes_of_a_landed_build_are_read(received, build, recorded):
    for kind in ("crash-news", "crash-request"):
        data = bytes.fromhex(recorded[kind])
        received._handle_datagram(cbor2.loads(data))
    (news,) = received.calls["crash_news"]
    items = crash_news.from_plain(news.items, 100.0)
    assert [item.digest[0] for item in items] == ["a", "b", "c"]
    assert received.calls["crash_request"] == ("a:81",)


@pytest.mark.parametrize(
    ("build", "recorded"), [x for x in RECORDED if "forward-headers" in x[1]]
)
def test_a_forward_of_a_landed_build_is_read(build, recorded):
    headers = [(k.encode(), v.encode()) for k, v in recorded["forward-headers"]]
    head = RequestHead(b"GET", b"/", b"shop.example", headers, 10.0)
    _, origin = peer_messages.parse_request(head)
    assert origin[:4] == ("a", 0.25, 3, ("t1", "t2"))
