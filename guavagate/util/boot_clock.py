"""The clock that goes on while the machine is suspended."""

import time


def read_boot_clock() -> float:
    """Return seconds since the machine was started, suspended ones too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
