"""An explanation changes nothing, and agrees with what is done then."""

import copy
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.cold_admission import ColdBound
from sardinewheel_gateway.policy.explanation import Question, explain
from sardinewheel_gateway.policy.placed import Placed
from sardinewheel_gateway.policy.placement_request import PlacementRequest
from sardinewheel_gateway.policy.retries import RetryBound
from sardinewheel_gateway.policy.routes import (
    Configuration,
    Limits,
    Service,
    Share,
)
from sardinewheel_gateway.policy.routing_state import Bounds, RoutingState

from tests.gateway.policy.test_placement import report_load
from tests.gateway.policy.test_routes import route
from tests.gateway.policy.test_targets import record

QUESTION = Question("GET", "shop.example", "/orders/1", "k")
REGIONS = {"north-a": "north"}
SHARES = (Share("orders", 3.0), Share("canary", 1.0))


def state_with(slots=(3, 9, 6), accounts=(), **fields):
    state = RoutingState(
        host="host-1",
        domain="north-a",
        bounds=Bounds(RetryBound(0.1, 5.0, 10.0), ColdBound(1.5, 5.0)),
        regions=REGIONS,
        rng=random.Random(7),
    )
    services = {x: Service(x, 10, 0.0, 5.0) for x in ("orders", "canary")}
    routes = (route("orders", "/orders/")._replace(**fields),)
    state.configure(Configuration(1, routes, services, Limits(), accounts))
    for n, size in enumerate(slots):
        target = record(f"t{n}", slots=size, cold_left_s=5.0 * (n == 0))
        state.target_table.put(target, now=0.0)
    return state


def plain(value):
    """Returns all state reachable from a value as plain data."""
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, dict):
        return {repr(key): plain(x) for key, x in value.items()}
    if hasattr(value, "__dict__"):
        return type(value).__name__, plain(vars(value))
    if isinstance(value, list | tuple | set | frozenset):
        return [plain(x) for x in value]
    return repr(value)


def counts(state):
    """Returns the state without caches of what is computed from it."""
    copied = copy.deepcopy(state)
    copied.target_table.usable_cache.clear()
    return plain(copied)


def test_state_stays_the_same_over_a_thousand_questions():
    state = state_with(shares=SHARES)
    for n in range(3):
        report_load(state.placer, f"t{n}", 3 * n)
    before = counts(state)
    for n in range(1000):
        explain(state, QUESTION._replace(object_key=str(n % 7)), 1.0)
    assert counts(state) == before


@given(
    st.lists(st.integers(1, 20), min_size=1, max_size=6),
    st.lists(st.integers(0, 60), max_size=6),
    st.sampled_from(["k", "m", "17"]),
)
def test_explains_what_is_done_then(slots, loads, key):
    state = state_with(slots, shares=SHARES)
    for n, load in enumerate(loads[: len(slots)]):
        report_load(state.placer, f"t{n}", load)
    question = QUESTION._replace(object_key=key)
    for _ in range(3):
        found = explain(state, question, 1.0)
        chosen_route = state.route(question.host, question.path)
        service = state.choose_service(chosen_route)
        assert found["service"] == service
        choice = state.placer.place(
            PlacementRequest(
                service,
                chosen_route,
                key,
                state.is_urgent(chosen_route, service),
            ),
            1.0,
        )
        if isinstance(choice, Placed):
            assert found["target"] == choice.target.record.target_id
            assert found["choice"] == choice.choice
        else:
            assert found["refusal"] == choice.reason


@pytest.mark.parametrize(
    ("changes", "accounts", "refusal"),
    [
        ({"path": "/other/1"}, (), "no-route"),
        ({"account": "cafe"}, (), "unknown-account"),
        ({}, (Account("cafe"),), "unknown-key"),
    ],
)
def test_refusals_before_placement(changes, accounts, refusal):
    state = state_with(accounts=accounts)
    found = explain(state, QUESTION._replace(**changes), 1.0)
    assert found["refusal"] == refusal
    assert "target" not in found


def test_shows_the_account_and_its_limit_but_no_key():
    account = Account("cafe", (b"digest",), None, 5.0, 2.0)
    state = state_with(accounts=(account,))
    found = explain(state, QUESTION._replace(account="cafe"), 1.0)
    assert (found["account"], found["account_limit_per_s"]) == ("cafe", 5.0)
    assert "digest" not in repr(found)


def test_unknown_failure_domain_is_named():
    with pytest.raises(ValueError, match="'south-z'"):
        explain(state_with(), QUESTION._replace(domain="south-z"), 1.0)
