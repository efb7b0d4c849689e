"""Two hosts of a region follow the store; others replace them on failure."""

import pytest
from sardinewheel_gateway.policy.hosts import HostTable, StoreAccess
from sardinewheel_gateway.policy.store_followers import (
    CANDIDATE_SILENCE_S,
    FOLLOWERS,
    START_WAIT_S,
    STOP_DELAY_S,
    FollowDecision,
)

from tests.gateway.policy.test_hosts import state

NAMES = [f"h{n:02}" for n in range(28)]
START = 100.0
NOW = START + START_WAIT_S + 0.01


class Region:
    """The hosts of a region, each with its own ``FollowDecision``."""

    def __init__(self, **fields):
        self.decisions = {}
        for name in NAMES:
            host_table = HostTable(state(name, **fields.get(name, {})))
            self.decisions[name] = FollowDecision(host_table)
        self.decide(START)

    def exchange_heartbeats(self, now, silent=()):
        """Delivers a heartbeat of each non-silent host to all others."""
        for decision in self.decisions.values():
            own = decision.host_table.own
            decision.host_table.own = own._replace(sequence=own.sequence + 1)
        for decision in self.decisions.values():
            for name, other in self.decisions.items():
                if name not in silent:
                    decision.host_table.record_heartbeat(
                        other.host_table.own, now=now
                    )

    def decide(self, now):
        """Returns the names of the hosts that follow the store."""
        chosen = set()
        for name, decision in self.decisions.items():
            if decision.decide(now=now):
                chosen.add(name)
        return chosen

    def set_store(self, names, access):
        for name in names:
            host_table = self.decisions[name].host_table
            host_table.own = host_table.own._replace(store=access)


@pytest.fixture
def region():
    cluster = Region()
    cluster.exchange_heartbeats(NOW)
    return cluster


def test_two_hosts_follow_the_store(region):
    assert len(region.decide(NOW)) == FOLLOWERS


def test_the_largest_hosts_come_first():
    cluster = Region(h05={"capacity": 100}, h06={"capacity": 100})
    cluster.exchange_heartbeats(NOW)
    assert cluster.decide(NOW) == {"h05", "h06"}


def test_isolated_host_follows_the_store_itself(region):
    later = NOW + CANDIDATE_SILENCE_S + 0.1
    assert region.decide(later) == set(NAMES)


def test_followers_that_cannot_reach_the_store_are_replaced(region):
    first = region.decide(NOW)
    region.set_store(first, StoreAccess.AWAY)
    region.exchange_heartbeats(NOW + 0.1)
    second = region.decide(NOW + 0.1)
    assert first < second
    assert len(second) == 2 * FOLLOWERS
    assert all(region.decisions[n].is_substitute for n in second - first)


def test_substitute_stops_after_the_followers_recover(region):
    first = region.decide(NOW)
    region.set_store(first, StoreAccess.AWAY)
    region.exchange_heartbeats(NOW + 0.1)
    region.decide(NOW + 0.1)
    region.set_store(first, StoreAccess.FOLLOWING)
    for step in range(20):
        now = NOW + 0.2 + step * (STOP_DELAY_S + 1) / 20
        region.exchange_heartbeats(now)
        chosen = region.decide(now)
    assert chosen == first


def test_silent_followers_are_replaced(region):
    first = region.decide(NOW)
    region.set_store(first, StoreAccess.FOLLOWING)
    region.exchange_heartbeats(NOW)
    for step in range(1, 5):
        region.exchange_heartbeats(NOW + step * 0.4, silent=first)
    replaced = region.decide(NOW + CANDIDATE_SILENCE_S + 0.1) - first
    assert len(replaced) >= FOLLOWERS
