"""Host discovery and state exchange by datagrams."""

import gevent
import pytest
from gevent import socket
from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Gossip
from sardinewheel_gateway.log import Log
from sardinewheel_gateway.policy.hosts import (
    CompactHeartbeat,
    HostTable,
    StoreAccess,
)
from sardinewheel_gateway.policy.updates import Positions

from tests.gateway.harness import wait_until
from tests.gateway.policy.test_hosts import state


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


@pytest.fixture
def hosts():
    ports = free_ports(3)
    created = []
    for name, port in zip("abc", ports, strict=True):
        address = f"127.0.0.1:{port}"
        host_table = HostTable(state(name, gossip=address))
        seed = f"127.0.0.1:{ports[0]}"
        created.append(Gossip(address, host_table, [seed], Log(host=name)))
    yield created
    for gossip in created:
        gossip.stop()


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


def test_compact_heartbeat_contains_the_changed_fields(hosts):
    for gossip in hosts:
        gossip.start()
    wait_until(lambda: all(len(g.host_table.peers) == 2 for g in hosts))
    own = hosts[1].host_table.own
    hosts[1].host_table.own = own._replace(sequence=100)
    hosts[1].set_positions(Positions(7, 9))
    hosts[1].send_heartbeat(includes_other_regions=False)
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


def test_compact_heartbeat_with_unknown_incarnation_is_ignored(hosts):
    compact = CompactHeartbeat.of(state("b", incarnation=9))
    assert hosts[0].host_table.expand_heartbeat(compact) is None


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x83\x01\x02\x03", b"\x80"])
def test_invalid_datagram_is_ignored(hosts, data):
    hosts[0].start()
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    host, _, port = hosts[0].host_table.own.gossip.rpartition(":")
    sender.sendto(data, (host, int(port)))
    gevent.sleep(0.05)
    hosts[1].start()
    wait_until(lambda: "b" in hosts[0].host_table.peers, 0.5)
    sender.close()
