"""Passes over the failures that KNOWN-RED.txt lists, and prints them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
SEPARATOR = " | "


def known_red() -> dict[str, str]:
    """Returns the listed entries by pytest node id."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [x for x in lines if x.strip() and not x.startswith("#")]
    return {entry.split(SEPARATOR)[0]: entry for entry in entries}


def pytest_collection_modifyitems(items):
    """Marks listed tests as expected to fail."""
    entries = known_red()
    for item in items:
        if item.nodeid in entries:
            reason = entries[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Prints the listed tests with how they ended."""
    for entry in known_red().values():
        terminalreporter.write_line(f"known red: {entry}")
