"""Hosts tell each other what targets announce."""

import random

import gevent
import pytest
from sardinewheel_gateway import clock
from sardinewheel_gateway.announcement_exchange import AnnouncementExchange
from sardinewheel_gateway.policy.announcements import Announcement
from sardinewheel_gateway.policy.routing_state import RoutingState

from tests.gateway.harness import BOUNDS, wait_until
from tests.gateway.policy.test_targets import record
from tests.gateway.test_gossip import gossips


class SharingHost:
    """A host that shares announcements over real datagrams."""

    def __init__(self, gossip):
        self.gossip = gossip
        self.routing_state = RoutingState(
            host=gossip.host_table.own.name,
            domain="north-a",
            bounds=BOUNDS,
            regions={},
            rng=random.Random(1),
        )
        self.routing_state.target_table.put(record("t0"), now=0.0)
        self.exchange = AnnouncementExchange(
            routing_state=self.routing_state,
            gossip=gossip,
            log=gossip.log,
            rng=random.Random(2),
        )
        gossip.start()
        self.task = gevent.spawn(self.exchange.run)

    @property
    def limit(self):
        limit = self.routing_state.announcements.limits.get("t0")
        return None if limit is None else limit.per_s

    def announce(self, limit_per_s):
        """Handles a response of the target."""
        target = self.routing_state.target_table.targets["t0"]
        self.exchange.record(target, Announcement(limit_per_s))

    def stop(self):
        self.task.kill()
        self.gossip.stop()


@pytest.fixture
def hosts():
    created = [SharingHost(x) for x in gossips("abcdef", seed_count=2)]
    wait_until(
        lambda: all(len(x.gossip.host_table.peers) == 5 for x in created)
    )
    yield created
    for host in created:
        host.stop()


def test_all_hosts_learn_a_limit_and_its_end(hosts):
    hosts[0].announce(2.0)
    wait_until(lambda: all(host.limit == 2.0 for host in hosts))
    gevent.sleep(0.2)
    hosts[3].announce(None)
    wait_until(lambda: all(host.limit is None for host in hosts))


def test_a_host_that_starts_later_learns_a_limit(hosts):
    late = hosts[-1]
    late.task.kill()
    late.gossip.on_announcements = lambda *_: None
    hosts[0].announce(2.0)
    wait_until(lambda: all(host.limit == 2.0 for host in hosts[:-1]))
    gevent.sleep(2.2)
    late.gossip.on_announcements = late.exchange.merge
    wait_until(lambda: late.limit == 2.0, timeout_s=8.0)


def test_the_response_of_a_replaced_target_is_ignored(hosts):
    host = hosts[0]
    before = host.routing_state.target_table.targets["t0"]
    restarted = record("t0", started_ms=2000)
    host.routing_state.target_table.put(restarted, now=clock.steady())
    host.exchange.record(before, Announcement(2.0))
    assert host.limit is None


def test_the_events_name_their_source(hosts):
    hosts[0].announce(2.0)
    wait_until(lambda: hosts[1].limit == 2.0)
    own = [x for x in hosts[0].gossip.log.lines if "target-limit" in x]
    others = [x for x in hosts[1].gossip.log.lines if "target-limit" in x]
    assert "source=response" in own[0]
    assert any(f"source={name}" in others[0] for name in "abcdef")
