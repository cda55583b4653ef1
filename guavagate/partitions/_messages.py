"""Messages between instances about a partition."""

import enum

import msgspec

from guavagate.links import Message
from guavagate.models import InstanceId, PartitionId


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """A command in a partition's record, with an id that marks repeats."""

    command_id: str
    kind: str
    payload: bytes
    at: float


class Verdict(enum.Enum):
    """The result of submitting a command.

    `MOVED` and `REFUSED` mean that this attempt has applied nothing and never
    will. After `REFUSED` an immediate retry is useless. After `UNKNOWN` and
    `FORGOTTEN` the command may have been applied; `FORGOTTEN` means that its
    outcome may no longer be stored.
    """

    DONE = 'done'
    MOVED = 'moved'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    FORGOTTEN = 'forgotten'
    INVALID = 'invalid'


class Submit(Message, frozen=True, kw_only=True):
    """Submit a command to the primary.

    Parameters
    ----------
    wait
        Seconds that the sender waits for the reply.
    repeated
        Whether an earlier attempt of the same command may have been applied.
    """

    partition: PartitionId
    entry: Entry
    wait: float
    repeated: bool = False


class SubmitReply(Message, frozen=True, kw_only=True):
    """The verdict, and the partition's current holder if it moved."""

    verdict: Verdict
    outcome: bytes = b''
    problem: str = ''
    holder: InstanceId = InstanceId('')


class TakeOver(Message, frozen=True, kw_only=True):
    """The sender released a partition; the receiver is to take it over."""

    partition: PartitionId


class Leave(Message, frozen=True, kw_only=True):
    """The sender is stopping and takes over no more partitions."""
