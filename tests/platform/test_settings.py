"""The platform's settings file is checked, and bounds may be missing."""

import tomllib

import pytest
from sardinewheel_platform import settings

from tests.platform.gateway_process import SETTINGS

PLAIN = tomllib.loads(
    SETTINGS.format(
        name="edge-1",
        ip="10.1.0.35",
        domain="north-a",
        region="north",
        internal=7660,
        internal_end=7675,
        seeds='"10.2.0.28:8146"',
        domains='north-a = "north"',
        front=8144,
        ready=8140,
        control=8146,
        directory=8143,
        store="10.200.1.7:8142",
    )
)


def test_addresses_and_bounds_are_read():
    found = settings.parse(PLAIN)
    assert found.store == "10.200.1.7:8142"
    assert found.gateway.front == "10.1.0.35:8144"
    assert found.gateway.gossip == "10.1.0.35:7660"
    assert found.gateway.seeds == ("10.2.0.28:7660",)
    assert found.gateway.store_silence_timeout_s == 4.0
    assert found.gateway.bounds.retries == (0.2, 60.0, 10.0)


@pytest.mark.parametrize("field", ["Bounds", "Zones", "Seeds", "Limits"])
def test_a_deployment_without_some_contracts_starts(field):
    found = settings.parse({k: v for k, v in PLAIN.items() if k != field})
    assert found.gateway.name == "edge-1"
    assert found.gateway.grace_s == 6.0


def test_fields_that_it_does_not_know_are_ignored():
    assert settings.parse(PLAIN | {"Later": {"x": 1}}).gateway.name == "edge-1"


def test_all_findings_are_told_together_with_their_places():
    bad = PLAIN | {
        "Node": 3,
        "Listen": {"Front": "nowhere", "Ready": "10.1.0.35:8140"},
        "Bounds": ["Grace=soon", "RetryRatio=many"],
        "Platform": {},
    }
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse(bad)
    places = [finding.split(": ")[0] for finding in caught.value.findings]
    assert places == [
        "Node",
        "Listen.Front",
        "Bounds",
        "Bounds",
        "Platform.Address",
    ]
    assert "'nowhere'" in str(caught.value)


def test_a_file_that_cannot_be_read_is_named(tmp_path, monkeypatch):
    path = tmp_path / "settings.toml"
    path.write_text("Node = ")
    monkeypatch.setenv(settings.SETTINGS_VARIABLE, str(path))
    with pytest.raises(settings.SettingsError, match=r"settings\.toml"):
        settings.load()
