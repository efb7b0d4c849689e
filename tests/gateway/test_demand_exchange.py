"""Hosts tell each other what callers send, over real datagrams."""

import random

import pytest
from sardinewheel_gateway import clock
from sardinewheel_gateway.demand_exchange import DemandExchange
from sardinewheel_gateway.policy.demand import DemandTable

from tests.gateway.harness import wait_until
from tests.gateway.test_gossip import gossips


@pytest.fixture
def exchanges():
    created = gossips("abcd", seed_count=2)
    made = []
    for index, gossip in enumerate(created):
        domain = "north-a" if index < 2 else "south-a"
        own = gossip.host_table.own
        gossip.host_table.own = own._replace(domain=domain, is_ready=True)
        table = DemandTable(domain)
        made.append(DemandExchange(table, gossip, rng=random.Random(index)))
        gossip.start()
    wait_until(lambda: all(len(x.host_table.peers) == 3 for x in created))
    yield made
    for gossip in created:
        gossip.stop()


def test_domain_learns_the_demand_of_another(exchanges):
    first, last = exchanges[0], exchanges[-1]
    for exchange in exchanges:
        exchange.share(is_full=False)
    last.table.count("s", 50)

    def is_told():
        for exchange in exchanges:
            exchange.share(is_full=True)
        return first.table.of("s", now=clock.steady()).get("south-a", 0.0) > 0.0

    wait_until(is_told)


def test_unreadable_message_is_an_error_that_names_the_value(exchanges):
    message = [20, "x", "north-a", [1], []]
    with pytest.raises(TypeError, match="not by service"):
        exchanges[0].gossip._handle_datagram(message)
