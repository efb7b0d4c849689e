"""Greenlets that are restarted after a failure."""

import traceback
from collections.abc import Callable
from pathlib import PurePath

import gevent

RESTART_DELAY_S = 1.0


def keep_running(
    name: str, function: Callable[[], None], log
) -> gevent.Greenlet:
    """Runs a function in a greenlet and restarts it when it raises.

    Args:
        name: Task name for the log.
        function: Function that is not expected to return.
        log: Log that failures are written to.
    """

    def run() -> None:
        while True:
            try:
                function()
            except Exception as error:
                log.error(
                    "task-failed",
                    task=name,
                    error=repr(error),
                    at=failure_location(error),
                )
                gevent.sleep(RESTART_DELAY_S)

    return gevent.spawn(run)


def failure_location(error: Exception) -> str:
    """Returns file, line and function in which an error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    last = frames[-1]
    return f"{PurePath(last.filename).name}:{last.lineno}:{last.name}"
