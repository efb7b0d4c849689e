"""Two hosts of a region read the store; others stand in for them."""

import pytest
from sardinewheel_gateway.policy.hosts import HostTable, StoreAccess
from sardinewheel_gateway.policy.store_followers import (
    FOLLOWERS,
    SILENCE_S,
    START_WAIT_S,
    STOP_DELAY_S,
    FollowDecision,
)

from tests.gateway.policy.test_hosts import state

NAMES = [f"h{n:02}" for n in range(28)]
START = 100.0
NOW = START + START_WAIT_S + 0.01


class Region:
    """The hosts of a region, each with its own decision."""

    def __init__(self, **fields):
        self.decisions = {}
        for name in NAMES:
            host_table = HostTable(state(name, **fields.get(name, {})))
            self.decisions[name] = FollowDecision(host_table)
        self.decide(START)

    def beat(self, now, silent=()):
        """Lets every host hear all others that aren't silent."""
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
    made = Region()
    made.beat(NOW)
    return made


def test_two_hosts_follow_the_store(region):
    assert len(region.decide(NOW)) == FOLLOWERS


def test_the_largest_hosts_come_first():
    made = Region(h05={"capacity": 100}, h06={"capacity": 100})
    made.beat(NOW)
    assert made.decide(NOW) == {"h05", "h06"}


def test_a_host_that_hears_nobody_follows_by_itself(region):
    later = NOW + SILENCE_S + 0.1
    assert region.decide(later) == set(NAMES)


def test_others_stand_in_for_hosts_that_the_store_refuses(region):
    first = region.decide(NOW)
    region.set_store(first, StoreAccess.AWAY)
    region.beat(NOW + 0.1)
    second = region.decide(NOW + 0.1)
    assert first < second
    assert len(second) == 2 * FOLLOWERS
    assert all(region.decisions[n].is_substitute for n in second - first)


def test_who_stood_in_stops_after_a_while(region):
    first = region.decide(NOW)
    region.set_store(first, StoreAccess.AWAY)
    region.beat(NOW + 0.1)
    region.decide(NOW + 0.1)
    region.set_store(first, StoreAccess.FOLLOWING)
    for step in range(20):
        now = NOW + 0.2 + step * (STOP_DELAY_S + 1) / 20
        region.beat(now)
        chosen = region.decide(now)
    assert chosen == first


def test_silent_followers_are_replaced_in_time(region):
    first = region.decide(NOW)
    region.set_store(first, StoreAccess.FOLLOWING)
    region.beat(NOW)
    for step in range(1, 5):
        region.beat(NOW + step * 0.4, silent=first)
    replaced = region.decide(NOW + SILENCE_S + 0.1) - first
    assert len(replaced) >= FOLLOWERS
