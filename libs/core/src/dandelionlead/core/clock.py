"""Reads the clocks of the machine for the processes of the system.

Code that makes decisions takes the time as an argument instead, so that tests
can set it.
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

    For logs, signed expiry times and other times that leave the machine.
    """
    return time.time()
