"""Clocks."""

import time


def steady() -> float:
    """Returns seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Returns the time of day in seconds since 1970, for logs only."""
    return time.time()
