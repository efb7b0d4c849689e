"""Monotonic and wall clocks."""

import time


def steady() -> float:
    """Returns monotonic seconds, including time in system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Returns seconds since the Unix epoch; used only for logs and ids."""
    return time.time()
