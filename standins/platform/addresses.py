"""Reserves loopback addresses, so that soaks beside each other do not clash."""

import socket
from typing import Final

# Blocks of addresses 127.0.BLOCK.x; those below are used by single tests.
FIRST_BLOCK: Final = 10
BLOCKS: Final = 240
# Bound for as long as a block is in use; nothing else uses it.
_LOCK_HOST: Final = 254
_LOCK_PORT: Final = 7999


class AddressBlock:
    """A block of loopback addresses that no other process reserves.

    Parameters
    ----------
    seed
        The seed of a soak, whose own block is tried first.
    """

    def __init__(self, seed: int) -> None:
        self.number = 0
        self._lock: socket.socket | None = None
        for offset in range(BLOCKS):
            number = FIRST_BLOCK + (seed + offset) % BLOCKS
            lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                lock.bind((f'127.0.{number}.{_LOCK_HOST}', _LOCK_PORT))
            except OSError:
                lock.close()
            else:
                self.number, self._lock = number, lock
                return
        raise RuntimeError('no block of addresses is free; end other soaks')

    def release(self) -> None:
        """Let others use the block."""
        if self._lock is not None:
            self._lock.close()
