"""What a partition holds and how it is asked."""

from typing import Protocol, TypeVar, runtime_checkable

from guavagate.links import Message
from guavagate.models import Epoch


class Command(Message, frozen=True, kw_only=True):
    """Something a partition's state is told; carries its own time.

    Parameters
    ----------
    at
        Wall-clock seconds at the one who issued it, so that it gives the
        same whenever the record's entries are applied again.
    """

    at: float


class Outcome(Message, frozen=True, kw_only=True):
    """What applying a command gave."""


Result = TypeVar('Result', bound=Outcome)


class PartitionState(Protocol):
    """A deterministic part of a partition's state.

    Applying the same commands in the same order gives the same state; nothing
    in here reads a clock, draws a random number, raises or does I/O. Iterate
    over dicts and lists only: the order of a set differs between processes.
    """

    def apply(self, command: Command) -> Outcome:
        """Apply one command and return its outcome."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot."""


@runtime_checkable
class SupportsPreview(Protocol):
    """A state some of whose commands need no entry in the record."""

    def preview(self, command: Command) -> Outcome | None:
        """Return what a command gives that changes nothing, if it does not.

        Its outcome must do no harm if another instance has meanwhile gone on
        from here, as "nothing yet" does none.
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
        """Have the command applied, and held by the store.

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

    def submit_here(
        self,
        key: str,
        epoch: Epoch,
        command: Command,
        outcome: type[Result],
    ) -> Result:
        """Have it applied by this instance in this epoch, or not at all.

        What the store takes then proves that no other instance has gone on
        from here. Raises as `submit` does.
        """
