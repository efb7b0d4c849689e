"""Tests of client accounts: keys, homes, urgency and their encoding."""

import timeit

import pytest
from sardinewheel_gateway.policy.accounts import (
    Account,
    AccountTable,
    key_digest,
)
from sardinewheel_gateway.policy.routes import (
    Configuration,
    Limits,
    common_homes,
)
from sardinewheel_gateway.policy.updates import (
    OperatorsUpdate,
    Update,
    from_plain,
    to_plain,
)

from tests.gateway.harness import BOUNDS
from tests.gateway.policy.test_routes import route


def account(name="cafe", *keys, **fields):
    return Account(name, tuple(map(key_digest, keys or (name,))), **fields)


def update_of(*accounts, **route_fields):
    routes = (route("r", "/r/", **route_fields),)
    configuration = Configuration(3, routes, {}, Limits(), accounts)
    return Update(OperatorsUpdate(5, configuration, frozenset()))


def test_accounts_that_share_a_key_are_rejected():
    with pytest.raises(ValueError, match="'cafe' and 'shop'"):
        AccountTable([account("cafe", "k"), account("shop", "k")])


def test_accounts_with_the_same_name_are_rejected():
    with pytest.raises(ValueError, match="'cafe'"):
        AccountTable([account("cafe", "k1"), account("cafe", "k2")])


def test_a_key_that_moved_belongs_to_its_new_account_only():
    before = AccountTable([account("cafe", "k"), account("shop", "s")])
    after = AccountTable([account("cafe", "c"), account("shop", "k")])
    assert before.find(key_digest("k")).name == "cafe"
    assert after.find(key_digest("k")).name == "shop"
    assert after.find(key_digest("s")) is None


def test_look_up_time_does_not_grow_with_the_number_of_accounts():
    few = AccountTable(account(f"a{n}") for n in range(71))
    many = AccountTable(account(f"a{n}") for n in range(100_000))
    keys = [key_digest(f"a{n}") for n in range(71)]

    def look_up_all(table):
        return all(table.find(key) for key in keys)

    of_few, of_many = (
        min(timeit.repeat(lambda t=table: look_up_all(t), number=20, repeat=9))
        for table in (few, many)
    )
    assert of_many < 5 * of_few


@pytest.mark.parametrize(
    ("of_route", "of_account", "expected"),
    [
        ("", "", ""),
        ("n", "", "n"),
        ("", "s", "s"),
        ("ns", "sw", "s"),
    ],
)
def test_homes_of_route_and_account_both_bind(of_route, of_account, expected):
    the_route = route("r", "/r/", home_regions=frozenset(of_route))
    the_account = account(home_regions=frozenset(of_account))
    assert common_homes(the_route, the_account) == frozenset(expected)


def test_contradicting_homes_name_route_and_account():
    the_route = route("r", "/r/", home_regions=frozenset("n"))
    with pytest.raises(ValueError, match=r"'r' and account 'cafe'"):
        common_homes(the_route, account(home_regions=frozenset("s")))


def test_accounts_survive_their_encoding():
    update = update_of(
        account("cafe", "k1", "k2", priority=1, rate_per_s=4.5, burst=9.0),
        account("shop", home_regions=frozenset("ns")),
        is_open=True,
    )
    assert from_plain(to_plain(update)) == update


def test_without_accounts_the_encoding_is_that_of_earlier_versions():
    operators, _, _ = to_plain(update_of())
    _, configuration, _, _ = operators
    assert [len(configuration), len(configuration[1][0])] == [4, 11]


def test_the_priority_of_an_account_goes_before_that_of_the_route():
    from sardinewheel_gateway.policy.routing_state import RoutingState

    state = RoutingState(
        host="h", domain="d", bounds=BOUNDS, regions={}, rng=None
    )
    urgent, usual = route("u", "/u/", priority=0), route("r", "/r/", priority=2)
    first = account("first", priority=0)
    last = account("last", priority=3)
    plain = account("plain")
    state.configure(
        Configuration(1, (urgent, usual), {}, Limits(), (first, last, plain))
    )
    service = usual.shares[0].service
    assert state.is_urgent(usual, service, first)
    assert state.is_urgent(usual, service, plain)
    assert not state.is_urgent(urgent, service, last)
    assert state.is_urgent(urgent, service, plain)
