"""Hosts tell each other of targets' loads and objects."""

import random

import gevent
import pytest
from sardinewheel_gateway import clock, load_exchange
from sardinewheel_gateway.load_exchange import LoadExchange
from sardinewheel_gateway.policy.cold_admission import ColdBound
from sardinewheel_gateway.policy.loads import ReportedLoad
from sardinewheel_gateway.policy.retries import RetryBound
from sardinewheel_gateway.policy.routing_state import Bounds, RoutingState

from tests.gateway.harness import wait_until
from tests.gateway.test_gossip import gossips

BOUNDS = Bounds(RetryBound(0.2, 62.0, 10.0), ColdBound(1.5, 5.0))


class TellingHost:
    """A host that tells loads over real datagrams."""

    def __init__(self, gossip):
        self.gossip = gossip
        self.routing_state = RoutingState(
            host=gossip.host_table.own.name,
            domain="north-a",
            bounds=BOUNDS,
            regions={},
            rng=random.Random(1),
        )
        self.loads = self.routing_state.loads
        self.known_objects = self.routing_state.placer.known_objects
        self.loads.of("t1")
        self.exchange = LoadExchange(self.routing_state, gossip)
        gossip.start()
        self.task = gevent.spawn(self.exchange.run)

    def estimate(self):
        return self.loads.of("t1").estimate(clock.steady())

    def respond(self, running, waiting):
        """Handles a response of the target to a request of this host."""
        self.loads.of("t1").in_flight = 1
        self.loads.record_load_report(
            "t1",
            ReportedLoad(running, waiting, 3),
            now=clock.steady(),
            was_executed=True,
        )
        self.loads.of("t1").in_flight = 0

    def stop(self):
        self.task.kill()
        self.gossip.stop()


@pytest.fixture
def hosts():
    created = [TellingHost(x) for x in gossips("abcdef", seed_count=2)]
    wait_until(
        lambda: all(len(x.gossip.host_table.peers) == 5 for x in created)
    )
    yield created
    for host in created:
        host.stop()


def test_all_hosts_learn_of_a_load_and_of_a_request(hosts):
    hosts[0].respond(3, 4)
    wait_until(lambda: all(host.estimate() > 5.0 for host in hosts))
    hosts[1].respond(1, 0)
    wait_until(lambda: all(host.estimate() == 0.0 for host in hosts))
    hosts[2].loads.record_dispatch("t1", now=clock.steady())
    others = [host for host in hosts if host is not hosts[2]]
    wait_until(lambda: all(host.estimate() == 1.0 for host in others))


def test_all_hosts_learn_which_target_knows_an_object(hosts):
    hosts[0].known_objects.record("t1", "status", "k", now=clock.steady())
    wait_until(
        lambda: all(
            host.known_objects.knows("t1", "status", "k", now=clock.steady())
            for host in hosts
        )
    )


def test_a_large_fleet_tells_nothing(hosts, monkeypatch):
    monkeypatch.setattr(load_exchange, "MAX_RECIPIENTS", 4)
    gevent.sleep(0.2)
    told = []
    for host in hosts:
        host.gossip.send_loads = lambda *args, **_: told.append(args)
    hosts[0].respond(3, 4)
    hosts[1].loads.record_dispatch("t1", now=clock.steady())
    gevent.sleep(0.5)
    assert not told
    assert not hosts[0].loads.news.items


def test_a_host_without_others_keeps_no_news():
    (gossip,) = gossips("a", seed_count=1)
    host = TellingHost(gossip)
    host.respond(3, 4)
    wait_until(lambda: not host.loads.news.items)
    host.stop()
