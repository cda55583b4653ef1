"""A clock that also runs while the machine is suspended."""

import time


def read_boot_clock() -> float:
    """Return seconds since the machine's boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
