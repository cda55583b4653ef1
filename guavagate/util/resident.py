"""Reads the resident memory of this process, and keeps it small."""

import contextlib
import ctypes
import pathlib
from typing import Final

_STATUS: Final = pathlib.Path('/proc/self/status')
_FIELD: Final = 'VmRSS:'
_KILOBYTE: Final = 1024
# `M_MMAP_THRESHOLD` of glibc's malloc.h.
_MMAP_THRESHOLD: Final = -3
_LARGE_BLOCK_BYTES: Final = 131_072


def read_resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    for line in _STATUS.read_text().splitlines():
        if line.startswith(_FIELD):
            return int(line.split()[1]) * _KILOBYTE
    return 0


def return_large_blocks() -> None:
    """Have the allocator return large blocks to the system once they are free.

    glibc raises its limit for that with each block that is freed, up to 32 MB,
    and grows the heap for smaller ones. Bodies that grow beside each other in
    the heap leave holes there which none of them fits.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
