"""The choice of the host that takes over a request."""

import random
from collections import Counter

from sardinewheel_gateway.policy.hosts import (
    SAME_REGION_SILENCE_S,
    HostTable,
)
from sardinewheel_gateway.policy.peer_choice import (
    MAX_IN_FLIGHT,
    MAX_REFUSING_HOSTS,
    REFUSAL_HOLD_S,
    PeerChoice,
)

from tests.gateway.policy.test_hosts import state

NOW = 1.0
SERVICE = "orders"


def choice_of(*hosts):
    host_table = HostTable(state("own"))
    for host in hosts:
        host_table.record_heartbeat(host, now=NOW)
    return PeerChoice(host_table, random.Random(1))


def choose(choice, *, homes=(), excluded=(), now=NOW):
    host = choice.choose(
        SERVICE, home_regions=frozenset(homes), excluded=excluded, now=now
    )
    return host and host.name


def test_a_host_of_the_same_region_is_preferred():
    choice = choice_of(state("near"), state("far", region="south"))
    assert {choose(choice) for _ in range(20)} == {"near"}


def test_a_host_of_another_region_serves_if_none_is_near():
    choice = choice_of(state("far", region="south"))
    assert choose(choice) == "far"


def test_hosts_that_can_not_serve_are_never_chosen():
    choice = choice_of(
        state("leaving", is_ready=False),
        state("stranded", reaches_targets=False),
    )
    assert choose(choice) is None


def test_a_silent_host_is_not_chosen():
    choice = choice_of(state("a"))
    assert choose(choice, now=NOW + SAME_REGION_SILENCE_S + 0.1) is None


def test_requests_with_home_regions_stay_in_them():
    choice = choice_of(state("near"), state("far", region="south"))
    assert choose(choice, homes=["south"]) == "far"
    assert choose(choice, homes=["east"]) is None


def test_a_host_is_asked_once_for_a_request():
    choice = choice_of(state("a"), state("b"))
    assert choose(choice, excluded=["a"]) == "b"
    assert choose(choice, excluded=["a", "b"]) is None


def test_a_host_with_many_requests_under_way_is_spared():
    choice = choice_of(state("a"), state("b"))
    choice.load("a").in_flight = MAX_IN_FLIGHT
    assert {choose(choice) for _ in range(20)} == {"b"}


def test_requests_are_spread_by_the_size_of_the_hosts():
    choice = choice_of(
        state("large", capacity=100), state("small", capacity=10)
    )
    counts = Counter(choose(choice) for _ in range(1000))
    assert counts["small"] < 200


def test_a_host_that_failed_is_left_out_for_a_while():
    choice = choice_of(state("a"), state("b"))
    choice.load("a").record_failure(now=NOW)
    assert {choose(choice) for _ in range(20)} == {"b"}


def test_a_host_is_not_asked_again_at_once_for_a_service_it_refused():
    choice = choice_of(state("a"))
    choice.record_refusal("a", SERVICE, has_no_target=False, now=NOW)
    assert choose(choice) is None
    assert choose(choice, now=NOW + REFUSAL_HOLD_S) == "a"


def test_no_host_is_asked_for_a_service_that_several_can_not_reach():
    choice = choice_of(*(state(f"h{n}") for n in range(9)))
    for number in range(MAX_REFUSING_HOSTS):
        choice.record_refusal(
            f"h{number}", SERVICE, has_no_target=True, now=NOW
        )
    assert choose(choice) is None
    assert choose(choice, now=NOW + REFUSAL_HOLD_S) is not None


def test_requests_for_other_services_are_still_forwarded():
    choice = choice_of(*(state(f"h{n}") for n in range(9)))
    for number in range(MAX_REFUSING_HOSTS):
        choice.record_refusal(
            f"h{number}", "other", has_no_target=True, now=NOW
        )
    assert choose(choice) is not None
