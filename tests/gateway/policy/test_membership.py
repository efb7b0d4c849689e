"""All hosts come to know all others in time, at a bounded cost."""

import random

import pytest
from sardinewheel_gateway.policy.hosts import (
    SAME_REGION_SILENCE_S,
    HostTable,
    StoreAccess,
)
from sardinewheel_gateway.policy.membership import (
    START_HEARTBEATS,
    STATES,
    MembershipProtocol,
)
from sardinewheel_gateway.policy.updates import Positions

from tests.gateway.policy.fleet import Fleet
from tests.gateway.policy.test_hosts import state

LOSS = 0.05
KNOWN_WITHIN_S = 2.0
START_SPREAD_S = 0.3
# Control traffic of a host of the target fleet.
MAX_CONTROL_BYTES_PER_S = 7000


def unknown_in_region(fleet):
    """Returns the pairs of a region of which one does not list the other."""
    running = {
        region: {
            protocol.host_table.own.name
            for protocol in fleet.hosts.values()
            if protocol.host_table.own.region == region
        }
        for region in set(fleet.regions.values())
    }
    return [
        (protocol.host_table.own.name, name)
        for protocol in fleet.hosts.values()
        for name in running[protocol.host_table.own.region]
        - fleet.live_peers(protocol)
        - {protocol.host_table.own.name}
    ]


def started_fleet(count, *, seed, loss=LOSS, until=6.0):
    fleet = Fleet(seed=seed, loss=loss)
    fleet.start_all(count, within_s=START_SPREAD_S)
    fleet.run_until(until)
    return fleet


@pytest.mark.parametrize(
    ("count", "seed"),
    [(11, 1), (11, 2), (11, 3), (88, 1), (88, 2), (195, 1), (300, 1)],
)
def test_hosts_of_a_region_know_each_other_within_two_seconds(count, seed):
    fleet = started_fleet(
        count, seed=seed, until=START_SPREAD_S + KNOWN_WITHIN_S
    )
    assert unknown_in_region(fleet) == []


@pytest.mark.parametrize("count", [11, 88])
def test_hosts_of_all_regions_know_each_other(count):
    fleet = started_fleet(count, seed=4, until=4.0)
    names = {p.host_table.own.name for p in fleet.hosts.values()}
    for protocol in fleet.hosts.values():
        assert set(protocol.host_table.names()) == names


def test_traffic_of_a_host_stays_within_the_target():
    fleet = started_fleet(264, seed=5, until=4.0)
    before = dict(fleet.sent_bytes)
    fleet.run_until(6.0)
    for address, sent in fleet.sent_bytes.items():
        assert (sent - before[address]) / 2.0 < MAX_CONTROL_BYTES_PER_S


def heartbeat_bytes(hosts_per_region):
    """Returns the mean bytes per heartbeat of a host that is not new."""
    table = HostTable(state("own", region="north"))
    for region in ("north", "east", "south"):
        for number in range(hosts_per_region):
            host = state(f"{region}-{number:04}", region=region)
            table.record_heartbeat(host, now=100.0)
    protocol = MembershipProtocol(table, [], random.Random(1))
    protocol.heartbeats = START_HEARTBEATS
    sent = [x for _ in range(50) for x in protocol.tick(now=100.5)]
    return sum(len(datagram.data) for datagram in sent) / 50


def test_traffic_of_a_host_does_not_grow_with_a_large_fleet():
    assert heartbeat_bytes(1000) < 1.05 * heartbeat_bytes(150)


def test_live_host_is_not_taken_for_silent():
    fleet = started_fleet(88, seed=6)
    for tenth in range(60, 120, 5):
        fleet.run_until(tenth / 10)
        assert unknown_in_region(fleet) == []


def test_host_that_ends_is_silent_everywhere_in_time():
    fleet = started_fleet(88, seed=7)
    gone = fleet.stop("h030:81").host_table.own.name
    fleet.run_until(6.0 + SAME_REGION_SILENCE_S + 0.1)
    for protocol in fleet.hosts.values():
        table = protocol.host_table
        if table.own.region == fleet.regions["h030:81"]:
            assert gone not in {h.name for h in table.live(now=fleet.now)}


def test_host_that_joins_is_known_to_its_region_within_two_seconds():
    fleet = started_fleet(195, seed=8, until=3.0)
    fleet.start("new", region="east")
    fleet.run_until(3.0 + KNOWN_WITHIN_S)
    assert unknown_in_region(fleet) == []


def test_host_that_joins_while_two_seeds_are_down_becomes_known():
    fleet = started_fleet(88, seed=9)
    for seed in fleet.seeds[:2]:
        fleet.stop(seed)
    fleet.start("new", region="east")
    fleet.run_until(6.0 + KNOWN_WITHIN_S)
    assert unknown_in_region(fleet) == []


def test_restarted_host_replaces_its_earlier_incarnation():
    fleet = started_fleet(88, seed=10)
    fleet.stop("h030:81")
    fleet.run_until(6.5)
    fleet.start("h030", region=fleet.regions["h030:81"], incarnation=2)
    fleet.run_until(6.5 + KNOWN_WITHIN_S)
    incarnation = fleet.hosts["h030:81"].host_table.own.incarnation
    for protocol in fleet.hosts.values():
        if protocol is not fleet.hosts["h030:81"]:
            peer = protocol.host_table.peers["h030"]
            assert peer.state.incarnation == incarnation


def test_all_hosts_that_restart_at_once_find_each_other():
    fleet = started_fleet(88, seed=11)
    for number, address in enumerate(list(fleet.hosts)):
        fleet.stop(address)
        at = 6.0 + number / 300
        name = address.removesuffix(":81")
        fleet.schedule(at, fleet.start, name, fleet.regions[address], 2)
    fleet.run_until(6.3 + KNOWN_WITHIN_S)
    assert unknown_in_region(fleet) == []


def test_region_that_was_cut_off_is_known_again():
    fleet = started_fleet(88, seed=12)
    fleet.cut_regions = {"east"}
    fleet.run_until(20.0)
    for protocol in fleet.hosts.values():
        regions = {
            host.region for host in protocol.host_table.live(now=fleet.now)
        }
        if protocol.host_table.own.region == "east":
            assert regions == {"east"}
        else:
            assert regions == {"north", "south"}
    fleet.cut_regions = set()
    fleet.run_until(25.0)
    assert fleet.unknown() < 0.01 * 88 * 87


def test_status_change_spreads_through_digests():
    fleet = started_fleet(88, seed=13)
    changed = fleet.hosts["h030:81"].host_table
    changed.own = changed.own._replace(is_ready=False, store=StoreAccess.AWAY)
    fleet.run_until(8.5)
    for protocol in fleet.hosts.values():
        table = protocol.host_table
        if table is not changed and table.own.region == changed.own.region:
            state = table.peers["h030"].state
            assert not state.is_ready
            assert state.store is StoreAccess.AWAY


def test_heartbeat_carries_the_positions_of_its_sender():
    fleet = started_fleet(2, seed=14, loss=0.0, until=2.0)
    sender = fleet.hosts["h000:81"]
    sender.host_table.own = sender.host_table.own._replace(
        positions=Positions(7, 9)
    )
    receiver = fleet.hosts["h001:81"].host_table
    fleet.send("h000:81", sender.announce([receiver.own]))
    fleet.run_until(2.1)
    assert receiver.peers["h000"].state.positions == (7, 9)


def test_state_passed_on_does_not_count_as_sent_now():
    fleet = started_fleet(2, seed=15, loss=0.0, until=2.0)
    table = fleet.hosts["h001:81"].host_table
    old = [60.0, list(table.own._replace(name="old"))]
    fleet.hosts["h001:81"].handle([STATES, [old]], now=2.0)
    assert "old" in table.peers
    assert "old" not in {host.name for host in table.live(now=2.0)}
