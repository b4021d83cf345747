"""Clocks of the daemons; decision code takes the time as an argument."""

from __future__ import annotations

import time


def boottime() -> float:
    """Returns seconds of a clock that also counts while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Returns seconds since the epoch, for logs and signed expiry times."""
    return time.time()
