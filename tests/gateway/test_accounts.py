"""Tests of requests with and without keys of client accounts."""

import gevent
import pytest
from sardinewheel_gateway.policy.accounts import Account
from sardinewheel_gateway.policy.routes import Configuration

from tests.gateway.harness import (
    LIMITS,
    ORDERS,
    GatewayHarness,
    read_all,
    request,
    sends_complete_response,
)
from tests.gateway.policy.test_routes import route

# The harness passes a key on as its own digest.
CAFE = Account("cafe", (b"k1",))
WITH_KEY = "X-Key: k1\r\n"


@pytest.fixture
def harness():
    made = GatewayHarness(sends_complete_response, accounts=[CAFE])
    yield made
    made.close()


def configure(harness, version, *accounts, **route_fields):
    routes = (route("orders", "/orders/", **route_fields),)
    configuration = Configuration(
        version, routes, {"orders": ORDERS}, LIMITS, accounts
    )
    assert harness.routing_state.configure(configuration)


@pytest.mark.parametrize("key", ["", "X-Key: other\r\n"])
def test_a_request_without_a_known_key_reaches_no_target(harness, key):
    assert b" 401 " in harness.send_request(extra_headers=key)
    assert harness.request_count() == 0


def test_a_target_gets_the_accounts_name_and_never_the_key(harness):
    forged = WITH_KEY + "X-Account: other\r\n"
    assert b"200 OK" in harness.send_request(extra_headers=forged)
    (head,) = harness.targets["t0"].heads
    assert "x-account: cafe" in head.lower()
    assert "other" not in head
    assert "k1" not in head


def test_no_key_is_logged(harness):
    harness.send_request(extra_headers="X-Key: secret7\r\n")
    harness.send_request(extra_headers=WITH_KEY)
    assert not [x for x in harness.lines() if "secret7" in x or "k1" in x]


def test_open_routes_need_no_key_and_name_no_account(harness):
    configure(harness, 2, CAFE, is_open=True)
    forged = "X-Key: other\r\nX-Account: cafe\r\n"
    assert b"200 OK" in harness.send_request(extra_headers=forged)
    (head,) = harness.targets["t0"].heads
    assert "x-account" not in head.lower()
    assert "other" not in head


def test_a_revoked_key_is_refused_on_a_connection_that_stays_open(harness):
    sock = harness.connect()
    sock.sendall(request(extra_headers=WITH_KEY))
    gevent.sleep(0.1)
    configure(harness, 2, Account("cafe", (b"k2",)))
    closing = WITH_KEY + "Connection: close\r\n"
    sock.sendall(request(number=2, extra_headers=closing))
    received = read_all(sock)
    assert received.count(b"200 OK") == 1
    assert received.count(b" 401 ") == 1


def test_homes_without_a_common_region_are_refused_as_not_run(harness):
    configure(
        harness,
        2,
        CAFE._replace(home_regions=frozenset("s")),
        home_regions=frozenset("n"),
    )
    response = harness.send_request(extra_headers=WITH_KEY)
    assert b" 503 " in response
    assert b"retry-after" in response.lower()
    assert harness.request_count() == 0
