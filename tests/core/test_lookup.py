"""Selection and order of the entry hosts that a look-up lists."""

import random
from collections import Counter

import pytest
from sardinewheel_core.intent import Intent, Region, Service, Target
from sardinewheel_core.lookup import LookupIndex
from sardinewheel_core.messages import HostState, Phase
from sardinewheel_core.ticket import Ticket


def state(name, domain, free_slots):
    rooms = (("pedidos", free_slots),)
    return HostState(
        name, 7, 1, domain, f"{name}:1", "", Phase.READY, 1, 3, rooms
    )


@pytest.fixture
def intent():
    targets = {
        name: Target(name, "quito-bodega", "127.0.0.1:1", 3)
        for name in ("t1", "t2")
    }
    return Intent.empty()._replace(
        regions={
            "sierra-norte": Region(
                "sierra-norte", 10, ("quito-bodega", "quito-curtiembre")
            ),
            "costa": Region("costa", 10, ("guayaquil-norte",)),
        },
        services={"pedidos": Service("pedidos", {}, targets)},
    )


def test_hosts_of_the_home_region_with_targets_are_listed_first(intent):
    ready = [
        state("far", "guayaquil-norte", 9),
        state("bare", "quito-curtiembre", 9),
        state("best", "quito-bodega", 1),
    ]
    index = LookupIndex(intent, ready, now=0.0)
    answer = index.look_up(
        service="pedidos", region="sierra-norte", rng=random.Random(1)
    )
    assert [e.host for e in answer.entries] == ["best", "bare", "far"]
    assert Ticket.of_request(answer.entries[0].ticket + "~x") == (
        Ticket("best", 7, 3)
    )


def test_hosts_with_more_free_slots_are_listed_first_more_often(intent):
    ready = [state("full", "quito-bodega", 0), state("free", "quito-bodega", 9)]
    index = LookupIndex(intent, ready, now=0.0)
    rng = random.Random(1)
    first = Counter(
        index.look_up(service="pedidos", region="sierra-norte", rng=rng)
        .entries[0]
        .host
        for _ in range(1000)
    )
    assert first["free"] > 3 * first["full"] > 0


def test_index_is_invalid_after_an_intent_change_or_a_timeout(intent):
    index = LookupIndex(intent, [], now=0.0)
    assert index.is_valid(intent, 0.1)
    assert not index.is_valid(intent._replace(version=2), 0.1)
    assert not index.is_valid(intent, 10.0)


def test_hosts_with_more_slots_are_listed_first_more_often(intent):
    targets = {
        f"t{i}": Target(f"t{i}", domain, "127.0.0.1:1", 3)
        for i, domain in enumerate(["quito-bodega"] * 6 + ["quito-curtiembre"])
    }
    intent = intent._replace(
        services={"pedidos": Service("pedidos", {}, targets)}
    )
    ready = [
        state("large", "quito-bodega", 0),
        state("small", "quito-curtiembre", 0),
    ]
    index = LookupIndex(intent, ready, now=0.0)
    rng = random.Random(1)
    first = Counter(
        index.look_up(service="pedidos", region="sierra-norte", rng=rng)
        .entries[0]
        .host
        for _ in range(1000)
    )
    assert first["large"] > 3 * first["small"] > 0
