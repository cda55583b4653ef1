"""Interface to the accounts of the memory that requests hold."""

from typing import Protocol


class MemoryAccount(Protocol):
    """The memory of one request; sizes are in bytes."""

    def admit_body(self, size: int) -> bool:
        """Reserve memory for a body; return whether it may be read.

        Called before the body is read, and again for each part by which a body
        of unknown length grows.
        """

    def hold_body(self, size: int) -> None:
        """Record what a complete body and its copies need from now on."""

    def hold_answer(self, size: int) -> None:
        """Record how much of the answer waits for the caller."""

    def close(self) -> None:
        """Release all memory of the request."""


class ServerMemory(Protocol):
    """The memory of a server's requests."""

    def open_account(self) -> MemoryAccount:
        """Return the account of a new request."""

    def record_slow_caller(self, request_id: str) -> None:
        """Record that a caller was cut off as it took nothing."""


class UnlimitedAccount:
    """The account of a server without a memory limit."""

    def admit_body(self, size: int) -> bool:
        """Admit any body."""
        return True

    def hold_body(self, size: int) -> None:
        """Count nothing."""

    def hold_answer(self, size: int) -> None:
        """Count nothing."""

    def close(self) -> None:
        """Release nothing."""


class UnlimitedMemory:
    """The memory of a server without a limit."""

    def open_account(self) -> MemoryAccount:
        """Return an account that counts nothing."""
        return UnlimitedAccount()

    def record_slow_caller(self, request_id: str) -> None:
        """Record nothing."""
