"""Fixtures shared by the tests of several packages."""

import pytest

from tests.gateway.harness import GatewayHarness


@pytest.fixture
def start_gateway():
    """Returns a function that starts a gateway with scripted targets.

    All started gateways are stopped at the end of the test.
    """
    gateways = []

    def make(*scripts, **fields):
        gateways.append(GatewayHarness(*scripts, **fields))
        return gateways[-1]

    yield make
    for gateway in gateways:
        gateway.close()
