"""Greenlets that are restarted after a failure."""

from collections.abc import Callable

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
                log.error("task-failed", task=name, error=repr(error))
                gevent.sleep(RESTART_DELAY_S)

    return gevent.spawn(run)
