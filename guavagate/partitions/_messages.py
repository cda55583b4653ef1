"""What instances say to each other about a partition."""

import enum

import msgspec

from guavagate.links import Message
from guavagate.models import InstanceId, PartitionId


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One command in a partition's record, and the id that tells repeats."""

    command_id: str
    kind: str
    payload: bytes
    at: float


class Verdict(enum.Enum):
    """What became of a submitted command.

    `MOVED` and `REFUSED` say that this attempt applied nothing and never
    will; after `REFUSED` another attempt is of no use now.
    """

    DONE = 'done'
    MOVED = 'moved'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    FORGOTTEN = 'forgotten'
    INVALID = 'invalid'


class Submit(Message, frozen=True, kw_only=True):
    """A command on its way to the primary.

    Parameters
    ----------
    wait
        Seconds that the sender will wait for the reply.
    repeated
        An earlier attempt of this very command may have been applied.
    """

    partition: PartitionId
    entry: Entry
    wait: float
    repeated: bool = False


class SubmitReply(Message, frozen=True, kw_only=True):
    """What became of it, and who holds the partition if it moved."""

    verdict: Verdict
    outcome: bytes = b''
    problem: str = ''
    holder: InstanceId = InstanceId('')


class TakeOver(Message, frozen=True, kw_only=True):
    """The sender has let go of a partition, and the receiver is next."""

    partition: PartitionId


class Leave(Message, frozen=True, kw_only=True):
    """The sender is being stopped: it takes no partitions any more."""
