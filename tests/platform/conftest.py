"""Adds the adapter's directory to ``sys.path``, and starts gateways."""

import sys
from pathlib import Path

import pytest

from tests.platform.gateway_group import GatewayGroup

ADAPTER_DIR = Path(__file__).resolve().parents[2] / "platform"
if str(ADAPTER_DIR) not in sys.path:
    sys.path.append(str(ADAPTER_DIR))


@pytest.fixture
def make_group(tmp_path):
    created = []

    def make(*domains):
        created.append(GatewayGroup(tmp_path, domains))
        return created[-1]

    yield make
    for group in created:
        group.close()
