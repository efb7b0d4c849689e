"""Fixtures that tests of several packages share."""

import pytest

from tests.gateway.harness import GatewayHarness


@pytest.fixture
def made():
    """Makes gateways with scripted targets, and stops them."""
    houses = []

    def make(*scripts, **fields):
        houses.append(GatewayHarness(*scripts, **fields))
        return houses[-1]

    yield make
    for house in houses:
        house.close()
