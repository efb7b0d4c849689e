"""Marks the tests listed in KNOWN-RED.txt as expected failures."""

from pathlib import Path

import hypothesis
import pytest

# The same examples in each run, so that a commit gets the same verdict.
hypothesis.settings.register_profile("repeatable", derandomize=True)
hypothesis.settings.load_profile("repeatable")

KNOWN_FAILURES_FILE = Path(__file__).parent / "KNOWN-RED.txt"
SEPARATOR = " | "


def known_failures() -> dict[str, str]:
    """Returns the entries of the file by pytest node id."""
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    entries = [x for x in lines if x.strip() and not x.startswith("#")]
    return {entry.split(SEPARATOR)[0]: entry for entry in entries}


def pytest_collection_modifyitems(items):
    """Marks listed tests as expected to fail."""
    entries = known_failures()
    for item in items:
        if item.nodeid in entries:
            reason = entries[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Prints the listed entries."""
    for entry in known_failures().values():
        terminalreporter.write_line(f"known red: {entry}")
