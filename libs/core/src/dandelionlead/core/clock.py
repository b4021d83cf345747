"""Reads the clocks of the machine.

Code that makes decisions takes the time as an argument instead of reading a
clock, so that tests can set the time.
"""

from __future__ import annotations

import time


def boottime() -> float:
    """Returns the seconds since the machine was booted.

    The clock is monotonic and also counts while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Returns the seconds since the Unix epoch.

    Used for log lines, signed expiry times and other times that are read on
    other machines. Unlike `boottime` it may jump when the clock is set.
    """
    return time.time()
