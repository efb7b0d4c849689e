"""Requests of limited accounts are admitted with tokens of other hosts."""

import random

import gevent
import pytest
from sardinewheel_gateway import clock
from sardinewheel_gateway.account_limit_exchange import AccountLimitExchange
from sardinewheel_gateway.metrics import Metrics
from sardinewheel_gateway.policy.account_limits import Token
from sardinewheel_gateway.policy.accounts import Account, AccountTable
from sardinewheel_gateway.policy.routing_state import RoutingState

from tests.gateway.harness import (
    BOUNDS,
    GatewayHarness,
    refuses_to_execute,
    sends_complete_response,
    wait_until,
)
from tests.gateway.test_gossip import gossips

CAFE = Account("cafe", (b"k1",), rate_per_s=20.0)
SLOW = Account("slow", (b"k3",), rate_per_s=0.5)
FREE = Account("free", (b"k2",))
PAST_S = 10.0


def settle(account_limits):
    """Lets a host believe that it has known the other hosts for long."""
    account_limits.tick()
    holders = account_limits.limits.holders
    holders.settled_at = clock.steady() - PAST_S


@pytest.fixture
def exchanges():
    """Returns two hosts of one failure domain that know each other."""
    created = gossips("ab", seed_count=1)
    made = []
    for gossip in created:
        routing_state = RoutingState(
            host=gossip.host_table.own.name,
            domain="north-a",
            bounds=BOUNDS,
            regions={"north-a": "north"},
            rng=random.Random(1),
        )
        routing_state.account_table = AccountTable([CAFE])
        made.append(
            AccountLimitExchange(
                routing_state=routing_state,
                gossip=gossip,
                regions={"north-a": "north"},
                metrics=Metrics(),
                log=gossip.log,
                rng=random.Random(1),
            )
        )
        gossip.start()
    wait_until(lambda: all(g.host_table.peers for g in created))
    for exchange in made:
        settle(exchange)
    yield made
    for gossip in created:
        gossip.stop()


def test_both_hosts_get_tokens_of_one_part(exchanges):
    admitted = [
        isinstance(exchange.acquire(CAFE), Token)
        for _ in range(4)
        for exchange in exchanges
    ]
    assert all(admitted)
    holders = [len(x.limits.parts.buckets) for x in exchanges]
    assert sorted(holders) == [0, 1]


def test_both_hosts_together_keep_the_limit(exchanges):
    tokens = []

    def call(exchange):
        while True:
            if isinstance(exchange.acquire(CAFE), Token):
                tokens.append(1)
            gevent.sleep(0.005)

    callers = [gevent.spawn(call, x) for x in exchanges for _ in range(3)]
    gevent.sleep(2.0)
    gevent.killall(callers)
    bound = (20.0 * 2.0) * 1.1 + 20.0
    assert 0.8 * 20.0 * 2.0 < len(tokens) <= bound


@pytest.fixture
def gateway():
    created = GatewayHarness(
        sends_complete_response,
        accounts=(CAFE, SLOW, FREE),
        is_idempotent=False,
    )
    created.account_limits.tick()
    yield created
    created.close()


def send(gateway, key):
    return gateway.send_request(extra_headers=f"X-Key: {key}\r\n")


def test_account_over_its_limit_gets_429(gateway):
    settle(gateway.account_limits)
    responses = [send(gateway, "k3") for _ in range(40)]
    assert responses[0].split()[1] == b"200"
    assert responses[-1].split()[1] == b"429"
    assert b"retry-after: " in responses[-1].lower()
    events = [line for line in gateway.lines() if "account-over-limit" in line]
    changes = [line for line in events if "event=account-over-limit" in line]
    assert len(changes) == 1


def test_account_without_a_limit_needs_no_token(gateway):
    assert send(gateway, "k2").split()[1] == b"200"
    assert not gateway.account_limits.limits.demands


def test_request_that_has_not_run_gives_its_token_back():
    gateway = GatewayHarness(
        refuses_to_execute, accounts=(CAFE,), max_attempts=1
    )
    settle(gateway.account_limits)
    given = []
    gateway.account_limits.give_back = lambda *args: given.append(args)
    assert send(gateway, "k1").split()[1] == b"503"
    assert len(given) == 1
    gateway.close()
