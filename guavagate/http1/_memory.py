"""Interface to the accounts of what connections hold."""

import enum
from typing import Protocol


class Phase(enum.Enum):
    """What a connection waits for."""

    # For the first byte of a request.
    IDLE = 'idle'
    # For the rest of a head or body.
    RECEIVING = 'receiving'
    # For the handler of a request.
    RUNNING = 'running'
    # For the caller to read its answer.
    SENDING = 'sending'
    # For the caller to close after its last answer.
    CLOSING = 'closing'


class Evictable(Protocol):
    """A connection that can be closed to free what it holds."""

    def is_idle(self) -> bool:
        """Return whether no data of a request is buffered or expected."""

    def close_idle(self) -> None:
        """Close an idle connection without blocking."""

    def cut_off(self) -> None:
        """Reset the connection without blocking."""


class ConnectionAccount(Protocol):
    """What one connection holds; sizes are in bytes."""

    def bind(self, connection: Evictable) -> None:
        """Set the connection, which may be closed for others from now on."""

    def enter(self, phase: Phase) -> None:
        """Record what the connection waits for from now on."""

    def admit_request(self) -> bool:
        """Reserve what a running request needs; return whether it may run."""

    def admit_body(self, size: int) -> bool:
        """Reserve memory for a body; return whether it may be read.

        Called before the body is read, and again for each part by which a body
        of unknown length grows.
        """

    def admit_copies(self, size: int) -> bool:
        """Reserve memory for a body and its copies; return whether it fits."""

    def hold_body(self, size: int) -> None:
        """Record what a complete body needs from now on."""

    def hold_unread(self, size: int) -> None:
        """Record how much the kernel may hold that is not read."""

    def hold_answer(self, size: int) -> None:
        """Record how much of the answer waits for the caller."""

    def end_request(self) -> None:
        """Release what the request held; the connection remains open."""

    def close(self) -> None:
        """Release everything."""


class ServerMemory(Protocol):
    """The account of a server's connections."""

    def open_account(self) -> ConnectionAccount | None:
        """Return the account of a new connection, or `None` to refuse it."""

    def compute_retry_after(self) -> float:
        """Return when a caller refused for want of memory should return."""

    def record_slow_caller(self, request_id: str) -> None:
        """Record that a caller was cut off as it took nothing."""


class UnlimitedAccount:
    """The account of a connection to a server without limits."""

    def bind(self, connection: Evictable) -> None:
        """Do nothing; the connection is never closed for others."""

    def enter(self, phase: Phase) -> None:
        """Record nothing."""

    def admit_request(self) -> bool:
        """Admit any request."""
        return True

    def admit_body(self, size: int) -> bool:
        """Admit any body."""
        return True

    def admit_copies(self, size: int) -> bool:
        """Admit any body."""
        return True

    def hold_body(self, size: int) -> None:
        """Count nothing."""

    def hold_unread(self, size: int) -> None:
        """Count nothing."""

    def hold_answer(self, size: int) -> None:
        """Count nothing."""

    def end_request(self) -> None:
        """Release nothing."""

    def close(self) -> None:
        """Release nothing."""


class UnlimitedMemory:
    """The account of a server without limits."""

    def open_account(self) -> ConnectionAccount | None:
        """Return an account that counts nothing."""
        return UnlimitedAccount()

    def compute_retry_after(self) -> float:
        """Return a second; nothing is refused for want of memory."""
        return 1

    def record_slow_caller(self, request_id: str) -> None:
        """Record nothing."""
