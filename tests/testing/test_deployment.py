"""Tests that the settings of both shipped deployments are consistent."""

from pathlib import Path

import pytest
from sardinewheel_entry.settings import check
from sardinewheel_testing.deployment import Deployment

# Both deployments look for free ports in the same ranges.
pytestmark = pytest.mark.xdist_group("deployment")

SETTINGS = Path(__file__).parents[2] / "settings"


@pytest.mark.parametrize(
    ("name", "hosts", "targets"),
    [
        ("vallejo", 11, {"pedidos": 20, "taller": 15}),
        ("patelvara", 10, {"packroom": 20, "secretariat": 10}),
    ],
)
def test_shipped_settings_are_consistent(name, hosts, targets):
    deployment = Deployment.from_folder(SETTINGS / name)
    assert len(deployment.entry_hosts) == hosts
    assert {h["name"] for h in deployment.entry_hosts} == set(
        deployment.intent.seats
    )
    assert {
        s.name: len(s.targets) for s in deployment.intent.services.values()
    } == targets
    for host in deployment.entry_hosts:
        assert check(host, place=host["name"]) == ()
        assert deployment.intent.seats[host["name"]].domain == host["domain"]
