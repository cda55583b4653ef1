"""What instances say to each other about a partition."""

import enum

import msgspec

from guavagate.links import Message
from guavagate.models import Epoch, PartitionId
from guavagate.partitions._view import Position, View


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One command in a partition's log, and the id that tells repeats."""

    command: str
    kind: str
    payload: bytes
    at: float


class Verdict(enum.Enum):
    """What became of a submitted command."""

    DONE = 'done'
    MOVED = 'moved'
    UNKNOWN = 'unknown'
    FORGOTTEN = 'forgotten'
    INVALID = 'invalid'


class Submit(Message, frozen=True, kw_only=True):
    """A command on its way to the primary.

    Parameters
    ----------
    epoch
        Of the view by which it was sent here.
    wait
        Seconds that the sender will wait for the reply.
    repeated
        An earlier attempt of this very command may have been applied.
    """

    partition: PartitionId
    entry: Entry
    epoch: Epoch
    wait: float
    repeated: bool = False


class SubmitReply(Message, frozen=True, kw_only=True):
    """What became of it; any verdict may bring a newer view."""

    verdict: Verdict
    outcome: bytes = b''
    problem: str = ''
    view: View | None = None


class Append(Message, frozen=True, kw_only=True):
    """Entries from the primary of an epoch.

    Parameters
    ----------
    boot
        The receiver's, unless it is only being prepared.
    base
        What the receiver must hold for the entries to follow on.
    lineage
        The epochs that the sender's log went through, each with the number
        of its last entry before.
    view
        Sent with the first message of an epoch.
    """

    partition: PartitionId
    epoch: Epoch
    base: Position
    boot: str = ''
    entries: tuple[Entry, ...] = ()
    lineage: tuple[tuple[Epoch, int], ...] = ()
    view: View | None = None


class Install(Message, frozen=True, kw_only=True):
    """A whole copy, for a replica that the log's tail can't bring up."""

    partition: PartitionId
    epoch: Epoch
    position: Position
    snapshot: bytes
    boot: str = ''
    lineage: tuple[tuple[Epoch, int], ...] = ()
    view: View | None = None


class ReplicaReply(Message, frozen=True, kw_only=True):
    """What a replica holds and has promised.

    Parameters
    ----------
    accepted
        It holds what the message brought, or has promised what it asked.
    boot
        Which process answers.
    held
        Whether it has a copy at all.
    """

    accepted: bool
    boot: str
    promised: Epoch
    position: Position = Position()
    held: bool = True


class Seal(Message, frozen=True, kw_only=True):
    """Ask a member to accept nothing of an epoch below this one."""

    partition: PartitionId
    epoch: Epoch
    boot: str


class Announce(Message, frozen=True, kw_only=True):
    """A view that is in force."""

    view: View


class AskView(Message, frozen=True, kw_only=True):
    """Ask which view of a partition a peer knows."""

    partition: PartitionId


class ViewReply(Message, frozen=True, kw_only=True):
    """The newest view that a peer knows; it is sure when `fresh`."""

    view: View | None = None
    fresh: bool = True


class Leave(Message, frozen=True, kw_only=True):
    """The sender is being stopped: give it nothing, take over what it has."""
