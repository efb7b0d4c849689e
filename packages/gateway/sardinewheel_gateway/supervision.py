"""Greenlets that run as long as the process."""

from collections.abc import Callable

import gevent

RESTART_S = 1.0


def keep_running(
    name: str, function: Callable[[], None], log
) -> gevent.Greenlet:
    """Runs a function in a greenlet, again whenever it fails.

    Args:
        name: What it does, for the log.
        function: Runs for ever.
        log: Where failures are reported.
    """

    def run() -> None:
        while True:
            try:
                function()
            except Exception as error:
                log.error("task-failed", task=name, error=repr(error))
                gevent.sleep(RESTART_S)

    return gevent.spawn(run)
