"""Demand by failure domain is estimated from what hosts tell each other."""

import math

import pytest
from sardinewheel_gateway.policy.demand import (
    MAX_AGE_S,
    DemandReport,
    DemandTable,
)


def table(requests=10, seconds=20):
    made = DemandTable("north-a")
    for second in range(seconds + 1):
        made.update(4, now=float(second))
        made.count("s", requests)
    return made


def test_demand_of_the_domain_is_the_mean_of_the_hosts_heard_times_all():
    made = table()
    made.record_host("peer", "north-a", {"s": 20.0}, now=20.0)
    made.update(4, now=21.0)
    assert made.of("s", now=21.0) == {"north-a": pytest.approx(60.0, rel=0.02)}


def test_host_of_another_domain_does_not_count():
    made = table()
    made.record_host("peer", "south-a", {"s": 900.0}, now=20.0)
    assert made.peers == {}


def test_newest_report_of_a_domain_counts():
    made = table()
    made.merge(DemandReport("south-a", 1.0, {"s": 5.0}), now=20.0)
    made.merge(DemandReport("south-a", 2.0, {"s": 9.0}), now=20.0)
    assert made.of("s", now=20.0)["south-a"] == 5.0


def test_old_estimate_is_dropped():
    made = table()
    made.merge(DemandReport("south-a", 1.0, {"s": 5.0}), now=20.0)
    assert "south-a" not in made.of("s", now=20.0 + MAX_AGE_S)


@pytest.mark.parametrize("rate", [-1.0, math.inf, math.nan])
def test_impossible_rate_is_an_error_that_names_it(rate):
    with pytest.raises(ValueError, match=r"demand .* for service 's'"):
        table().record_host("peer", "north-a", {"s": rate}, now=1.0)
