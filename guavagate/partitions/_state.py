"""Interfaces of partitions and of the states in them."""

from typing import Protocol, TypeVar, runtime_checkable

from guavagate.links import Message
from guavagate.models import Epoch


class Command(Message, frozen=True, kw_only=True):
    """A command to a partition's state, with its own timestamp.

    Parameters
    ----------
    at
        Wall-clock seconds at the issuer. Applying the record's entries again
        uses the same time and so gives the same result.
    """

    at: float


class Outcome(Message, frozen=True, kw_only=True):
    """The result of applying a command."""


Result = TypeVar('Result', bound=Outcome)


class PartitionState(Protocol):
    """A deterministic part of a partition's state.

    Applying the same commands in the same order gives the same state, so an
    implementation must not read a clock, draw random numbers, raise or do I/O.
    Iterate over dicts and lists only: set order differs between processes.
    """

    def apply(self, command: Command) -> Outcome:
        """Apply one command and return its outcome."""

    def snapshot(self) -> bytes:
        """Return the complete state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot."""


@runtime_checkable
class SupportsPreview(Protocol):
    """A state that can answer some commands without a record entry."""

    def preview(self, command: Command) -> Outcome | None:
        """Return the outcome of a command that changes nothing, else `None`.

        The outcome must be harmless even if another instance has taken over
        meanwhile, for example "nothing yet".
        """


class Partitions(Protocol):
    """Routes commands to the primary of a key's partition."""

    def submit(
        self,
        key: str,
        command: Command,
        outcome: type[Result],
        timeout: float,
    ) -> Result:
        """Apply the command and store it durably.

        Parameters
        ----------
        key
            Selects the partition, for example an idempotency key or a run id.
        timeout
            Seconds for all attempts, including those at another primary.

        Raises
        ------
        NotAppliedError
            The command is not applied and never will be.
        OutcomeUnknownError
            The command may have been applied.
        """

    def submit_here(
        self,
        key: str,
        epoch: Epoch,
        command: Command,
        outcome: type[Result],
    ) -> Result:
        """Apply the command here in this epoch, or not at all.

        A successful write proves that no other instance has taken over the
        partition. Raises the same errors as `submit`.
        """
