"""Validation of settings, and the settings page of the documentation."""

import contextlib
import json
import subprocess
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as options
from hypothesis import strategies as st
from sardinewheel_core.errors import SettingsError
from sardinewheel_entry import settings, settings_page
from sardinewheel_entry.settings import Settings
from sardinewheel_testing.processes import BIN

ROOT = Path(__file__).parents[2]
VALID_SETTINGS = {
    "name": "quito-1",
    "domain": "quito-bodega",
    "http_address": "127.0.0.1:7000",
    "peer_address": "127.0.0.1:7001",
    "platform_address": "127.0.0.1:7002",
    "seeds": ["127.0.0.1:7003"],
}


def findings(plain):
    return {f.place: f for f in settings.check(plain, place="f.json")}


def test_valid_settings_have_no_findings():
    assert not findings(VALID_SETTINGS)


def test_all_findings_are_reported_with_their_places():
    invalid = {
        **VALID_SETTINGS,
        "name": "",
        "http_address": "127.0.0.1:70000",
        "peer_address": "example:1",
        "seeds": ["127.0.0.1:0", 7],
        "log_level": "loud",
        "extra": 1,
    }
    del invalid["domain"]
    found = findings(invalid)
    places = ("name", "http_address", "peer_address", "seeds[0]", "seeds[1]")
    for place in (*places, "log_level"):
        assert f"f.json:$.{place}" in found, place
    assert "domain" in str(list(settings.check(invalid, place="f")))
    assert "extra" not in found["f.json:$.name"].expected
    assert found["f.json:$.http_address"].value == "127.0.0.1:70000"
    assert "65535" in found["f.json:$.http_address"].expected


@pytest.mark.parametrize(
    "change",
    [
        {"name": "quito-1\n"},
        {"name": "x" * 64},
        {"domain": "Quito"},
        {"peer_address": VALID_SETTINGS["http_address"]},
        {"platform_address": "999.1.1.1:7000"},
        {"platform_address": "127.0.0.1:7002\n"},
        {"platform_address": None},
        {"seeds": "127.0.0.1:1"},
    ],
)
def test_invalid_value_has_a_finding(change):
    assert findings({**VALID_SETTINGS, **change})


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "NaN",
        '{"name": NaN}',
        '{"name": "a", "name": "b"}',
        "[" * 100_000,
        "1" * 10_000,
        "\x00",
    ],
)
def test_invalid_files_raise_settings_errors(tmp_path, text):
    path = tmp_path / "settings.json"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(SettingsError) as raised:
        Settings.from_file(path)
    assert all(str(path) in f.place for f in raised.value.findings)


def test_check_option_prints_every_finding(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**VALID_SETTINGS, "name": "", "domain": ""}))
    command = [str(BIN / "sardinewheeld"), "--check", str(path)]
    result = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 2
    path.write_text(json.dumps(VALID_SETTINGS))
    result = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    assert (result.returncode, result.stderr) == (0, "")


JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@options(derandomize=True, max_examples=300, deadline=None)
@given(
    st.dictionaries(st.sampled_from([*VALID_SETTINGS, "log_level", "?"]), JSON)
    | JSON
)
def test_check_raises_only_settings_errors(plain):
    with contextlib.suppress(SettingsError):
        settings.check(plain, place="f.json")


def test_settings_page_matches_the_schema():
    page = (ROOT / "docs" / "SETTINGS.md").read_text(encoding="utf-8")
    assert page == settings_page.render_page(settings.schema()), (
        "docs/SETTINGS.md is out of date; run make settings-page"
    )
