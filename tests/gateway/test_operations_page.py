"""The operations page lists the events that the code logs."""

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SOURCES = [
    *(ROOT / "packages/gateway/sardinewheel_gateway").rglob("*.py"),
    *(ROOT / "platform/sardinewheel_platform").rglob("*.py"),
]
CALL = re.compile(
    r"log\.(?P<level>debug|info|warn_once|warning|error_once|error)"
    r"\(\s*f?\"(?P<event>[a-z-]+)\""
)
LEVELS = {"warn_once": "warning", "error_once": "error"}
ROW = re.compile(r"^\| `(?P<event>[a-z-]+)` \| (?P<level>\w+) \|", re.M)
# Events logged through a variable or by the log module itself.
INDIRECT = {
    "attempt-ended": "info",
    "peer-attempt-ended": "info",
    "request-answered": "info",
    "request-refused": "info",
    "request-failed": "info",
    "log-lines-omitted": "warning",
    "target-refused": "warning",
    "evacuation-refused": "warning",
    "target-joined": "info",
    "target-restarted": "info",
    "target-draining": "info",
    "target-cold": "info",
    "target-changed": "info",
    "target-missing": "info",
    "target-gone": "info",
}


def logged():
    found = dict(INDIRECT)
    for source in SOURCES:
        for match in CALL.finditer(source.read_text()):
            if not match["event"].endswith("-"):
                level = match["level"]
                found[match["event"]] = LEVELS.get(level, level)
    return found


def documented():
    page = (ROOT / "docs/OPERATIONS.md").read_text()
    return {m["event"]: m["level"] for m in ROW.finditer(page)}


def test_the_page_lists_what_is_logged():
    assert documented() == logged()


def test_the_indirect_events_are_in_the_code():
    text = "".join(source.read_text() for source in SOURCES)
    for event in INDIRECT:
        words = event.removeprefix("target-")
        assert (
            f'"{event}"' in text
            or f'"{words}"' in text
            or (f"event={event}" in text)
        )
