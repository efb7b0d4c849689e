"""Tests of parsing and validating the platform's settings file."""

import contextlib
import tomllib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sardinewheel_platform import settings

from tests.odd_values import ANY_VALUE
from tests.platform.gateway_process import SETTINGS

DOCUMENT = tomllib.loads(
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


def test_addresses_and_bounds_are_parsed():
    parsed = settings.parse(DOCUMENT)
    assert parsed.store == "10.200.1.7:8142"
    assert parsed.gateway.front == "10.1.0.35:8144"
    assert parsed.gateway.gossip == "10.1.0.35:7660"
    assert parsed.gateway.seeds == ("10.2.0.28:7660",)
    assert parsed.gateway.store_silence_timeout_s == 4.0
    assert parsed.gateway.bounds.retries == (0.2, 60.0, 10.0)
    assert parsed.gateway.bounds.accounts == (5.0, 0.1, 20.0)


def test_the_window_of_account_limits_is_parsed():
    bounds = ["QuotaWindow=2s", "QuotaExcess=0.2", "QuotaSlack=7"]
    parsed = settings.parse(DOCUMENT | {"Bounds": bounds})
    assert parsed.gateway.bounds.accounts == (2.0, 0.2, 7.0)


@pytest.mark.parametrize("field", ["Bounds", "Zones", "Seeds", "Limits"])
def test_optional_field_may_be_missing(field):
    parsed = settings.parse({k: v for k, v in DOCUMENT.items() if k != field})
    assert parsed.gateway.name == "edge-1"
    assert parsed.gateway.grace_s == 6.0


def test_unknown_fields_are_ignored():
    assert (
        settings.parse(DOCUMENT | {"Later": {"x": 1}}).gateway.name == "edge-1"
    )


def test_all_errors_are_reported_with_their_keys():
    invalid = DOCUMENT | {
        "Node": 3,
        "Listen": {"Front": "nowhere", "Ready": "10.1.0.35:8140"},
        "Bounds": ["Grace=soon", "RetryRatio=many"],
        "Platform": {},
    }
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse(invalid)
    keys = [finding.split(": ")[0] for finding in caught.value.findings]
    assert keys == [
        "Node",
        "Listen.Front",
        "Bounds",
        "Bounds",
        "Platform.Address",
    ]
    assert "'nowhere'" in str(caught.value)


def test_error_names_the_unreadable_file(tmp_path, monkeypatch):
    path = tmp_path / "settings.toml"
    path.write_text("Node = ")
    monkeypatch.setenv(settings.SETTINGS_VARIABLE, str(path))
    with pytest.raises(settings.SettingsError, match=r"settings\.toml"):
        settings.load()


def test_seeds_that_can_not_be_used_are_left_out():
    seeds = ["10.2.0.28:8146", "\n:80", "seed.example:80", 7, "10.2.0.29:99999"]
    parsed = settings.parse(DOCUMENT | {"Seeds": seeds})
    assert parsed.gateway.seeds == ("10.2.0.28:7660",)
    assert len(parsed.ignored) == 4


@given(st.sampled_from(sorted(DOCUMENT)), ANY_VALUE)
def test_settings_with_any_value_are_parsed_or_refused(name, value):
    with contextlib.suppress(settings.SettingsError):
        settings.parse(DOCUMENT | {name: value})


@pytest.mark.parametrize("text", ["x = " + "[" * 5000, "\x00", "x = nan"])
def test_an_odd_file_is_refused(tmp_path, monkeypatch, text):
    path = tmp_path / "settings.toml"
    path.write_text(text)
    monkeypatch.setenv("SARDINEWHEEL_SETTINGS", str(path))
    with pytest.raises(settings.SettingsError):
        settings.load()
