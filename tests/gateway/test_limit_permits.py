"""Permits for limited targets come from the holders of the shares."""

import random

import pytest
from sardinewheel_gateway import clock
from sardinewheel_gateway.gossip import Permit
from sardinewheel_gateway.limit_permits import LimitPermits
from sardinewheel_gateway.policy.announcements import Announcement
from sardinewheel_gateway.policy.routing_state import RoutingState

from tests.gateway.harness import BOUNDS, wait_until
from tests.gateway.policy.test_targets import record
from tests.gateway.test_gossip import gossips

NAMES = ["a", "b"]
DOMAINS = ("north-a", "north-b")
LIMIT_PER_S = 2.0


class PermitHost:
    """A host that gets permits over real datagrams."""

    def __init__(self, gossip, domain):
        self.name = gossip.host_table.own.name
        self.gossip = gossip
        self.asked = 0
        self.routing_state = RoutingState(
            host=self.name,
            domain=domain,
            bounds=BOUNDS,
            regions=dict.fromkeys(DOMAINS, "north"),
            rng=random.Random(1),
        )
        self.routing_state.target_table.put(record("t0"), now=0.0)
        self.permits = LimitPermits(self.routing_state, gossip)
        self.routing_state.limit_admission.set_hosts(
            {name: [host] for name, host in zip(DOMAINS, NAMES, strict=True)},
            now=clock.steady() - 60.0,
        )
        gossip.start()

    def announce(self, limit_per_s):
        """Handles a response of the target."""
        target = self.routing_state.target_table.targets["t0"]
        self.routing_state.record_announcement(
            target, Announcement(limit_per_s), now=clock.steady()
        )

    def acquire(self):
        """Returns whether a permit was granted."""
        limit = self.routing_state.announcements.limits["t0"]
        return self.permits.acquire("t0", limit, is_urgent=True)

    def count_requests(self):
        """Counts the requests for permits from now on."""
        handle = self.permits.handle_request

        def count(request):
            self.asked += 1
            handle(request)

        self.gossip.on_permit_request = count


@pytest.fixture
def hosts():
    created = [
        PermitHost(gossip, domain)
        for gossip, domain in zip(
            gossips(NAMES, seed_count=1), DOMAINS, strict=True
        )
    ]
    wait_until(
        lambda: all(len(x.gossip.host_table.peers) == 1 for x in created)
    )
    yield created
    for host in created:
        host.gossip.stop()


def test_a_host_gets_the_shares_of_all_domains_of_its_region(hosts):
    hosts[0].announce(LIMIT_PER_S)
    granted = [hosts[0].acquire() for _ in range(10)]
    # 1.5 s at the limit, and 3 requests more.
    assert granted.count(True) == 6


def test_the_asking_host_tells_the_holder_the_limit(hosts):
    hosts[0].announce(LIMIT_PER_S)
    while hosts[0].acquire():
        pass
    limits = hosts[1].routing_state.announcements.limits
    assert limits["t0"].per_s == LIMIT_PER_S


def test_a_holder_without_permits_is_not_asked_again_at_once(hosts):
    hosts[1].count_requests()
    hosts[0].announce(LIMIT_PER_S)
    while hosts[0].acquire():
        pass
    asked = hosts[1].asked
    for _ in range(20):
        assert not hosts[0].acquire()
    assert hosts[1].asked == asked


def test_a_silent_holder_is_asked_once(hosts):
    hosts[1].gossip.on_permit_request = lambda _: None
    hosts[0].announce(LIMIT_PER_S)
    while hosts[0].acquire():
        pass
    began = clock.steady()
    for _ in range(20):
        assert not hosts[0].acquire()
    assert clock.steady() - began < 0.05


def test_a_late_permit_is_ignored(hosts):
    hosts[0].permits.handle_permit(Permit(99, 0.0))
    assert hosts[0].permits.waiting == {}
