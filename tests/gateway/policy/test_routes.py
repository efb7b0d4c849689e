"""Route look-up by longest prefix, and weighted splits."""

import pytest
from sardinewheel_gateway.policy.routes import (
    Route,
    RouteTable,
    Share,
    SplitChooser,
)

ORDERS_ONLY = (Share("orders", 1.0),)


def route(name="r", prefix="/", shares=ORDERS_ONLY, **fields):
    values = {
        "host": "shop.example",
        "is_idempotent": True,
        "timeout_s": 1.0,
        "objective_s": 0.5,
        "priority": 1,
        "max_attempts": 2,
        "has_affinity": True,
        "home_regions": frozenset(),
    }
    values.update(fields)
    return Route(name=name, prefix=prefix, shares=tuple(shares), **values)


TABLE = RouteTable(
    [
        route("orders", "/orders/"),
        route("new", "/orders/new/"),
        route("other", "/", host="other.example"),
    ]
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("shop.example", "/orders/1", "orders"),
        ("shop.example", "/orders/new/1", "new"),
        ("shop.example", "/orders/newer/1", "orders"),
        ("SHOP.example:8080", "/orders/?q=/orders/new/", "orders"),
        ("shop.example", "/orders", None),
        ("shop.example", "/", None),
        ("other.example", "/anything", "other"),
        ("nobody.example", "/orders/1", None),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, name):
    found = TABLE.find(host, path)
    assert (found.name if found else None) == name


def test_split_is_within_one_request_of_its_weights():
    chooser = SplitChooser()
    split = route(shares=[Share("a", 90), Share("b", 10)])
    counts = {"a": 0, "b": 0}
    for sent in range(1, 301):
        counts[chooser.choose(split)] += 1
        assert abs(counts["b"] - sent * 0.1) <= 1.0


def test_changed_split_starts_from_zero():
    chooser = SplitChooser()
    old = route(shares=[Share("a", 1), Share("b", 1)])
    chooser.choose(old)
    new = route(shares=[Share("a", 1), Share("b", 3)])
    chooser.keep([new])
    chosen = [chooser.choose(new) for _ in range(8)]
    assert chosen.count("b") == 6
