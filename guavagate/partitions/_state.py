"""What a partition holds and how it is asked."""

from typing import Protocol, TypeVar

from guavagate.links import Message
from guavagate.models import Epoch, InstanceId


class Command(Message, frozen=True, kw_only=True):
    """Something a partition's state is told; carries its own time.

    Parameters
    ----------
    at
        Wall-clock seconds at the one who issued it, so that every replica
        applies it with the same time.
    """

    at: float


class Outcome(Message, frozen=True, kw_only=True):
    """What applying a command gave."""


Result = TypeVar('Result', bound=Outcome)


class CopiesLost(Command, frozen=True, kw_only=True):
    """Copies that held answered commands may have been lost.

    Every state of the partition is told, without registering for it. From
    then on it must say "unknown" about whatever it does not hold and that
    may be older than `at`. What it does hold may be of an older copy, so it
    must not take that for the newest either. It comes once for each loss.
    """


class ReplicatedState(Protocol):
    """A deterministic part of a partition's state.

    Two replicas that apply the same commands in the same order are equal;
    nothing in here reads a clock, draws a random number, raises or does I/O.
    Iterate over dicts and lists only: the order of a set differs between
    processes.
    """

    def apply(self, command: Command) -> Outcome:
        """Apply one command and return its outcome."""

    def snapshot(self) -> bytes:
        """Return the whole state, for a new backup."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot."""


class Partitions(Protocol):
    """Routes commands to the primary of a key's partition."""

    def submit(
        self,
        key: str,
        command: Command,
        outcome: type[Result],
        timeout: float,
    ) -> Result:
        """Have the command applied and held by enough replicas.

        Parameters
        ----------
        key
            What decides the partition: an idempotency key, a run id.
        timeout
            Seconds, over all retries to a moved primary.

        Raises
        ------
        NotAppliedError
            Certainly not applied, now or later.
        OutcomeUnknownError
            May have been applied.
        """

    def primary_of(self, key: str) -> tuple[InstanceId, Epoch] | None:
        """Return who decides for the key, as far as this instance knows."""
