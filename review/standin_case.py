"""Runs a case: its stand-ins, its record, and its exit status."""

import asyncio
import os
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from standin_machines import DEPLOY_FILE, LIBRARIES

HELD = 0
BROKEN = 1
NOT_RUN = 2
TIME_LIMIT_S = 115.0


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The record of a run.

    Attributes:
        began: Start of the run on the monotonic clock.
        has_trouble: Whether the run has the disruption.
    """

    def __init__(self, path: Path, *, has_trouble: bool):
        self.began = time.monotonic()
        self.has_trouble = has_trouble
        self.file = path.open("w", encoding="utf-8")
        self.write("trouble", value=int(has_trouble))

    def write(self, event: str, *, at: float | None = None, **fields) -> None:
        """Writes one line."""
        seconds = (time.monotonic() if at is None else at) - self.began
        pairs = " ".join(f"{k}={v}" for k, v in fields.items())
        self.file.write(f"{seconds:8.3f} {event} {pairs}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Writes a line and prints it."""
        self.write("note", text=text)
        print(text, flush=True)


Play = Callable[[Record, Path], Awaitable[bool]]


def main(folder: Path, play: Play) -> None:
    """Plays a case and exits with its status.

    Args:
        folder: Folder of the case.
        play: Plays the case with a record and a folder for its files; returns
            whether the rule held.
    """
    # Ends the processes that it started, like any other end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt", has_trouble=has_trouble)
    try:
        if not LIBRARIES.is_dir() or not DEPLOY_FILE.is_file():
            raise CaseError("the deploy file was not built")
        with tempfile.TemporaryDirectory() as scratch:
            held = asyncio.run(_limited(play(record, Path(scratch))))
    except (CaseError, OSError, TimeoutError) as error:
        record.say(f"the case could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)


async def _limited(played: Awaitable[bool]) -> bool:
    async with asyncio.timeout(TIME_LIMIT_S):
        return await played
