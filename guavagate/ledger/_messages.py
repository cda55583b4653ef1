"""Commands to the ledger's state, and what they give."""

import enum
from typing import Final

import msgspec

from guavagate.links import Message
from guavagate.models import InstanceId
from guavagate.partitions import Command, Outcome

WINDOW_SECONDS: Final = 3600.0
PARTITION_BYTES: Final = 2_000_000
ANSWER_BYTES: Final = 65_536


class LedgerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a ledger keeps; the same at every instance.

    Parameters
    ----------
    window
        Seconds for which a key is kept; nothing is forgotten earlier.
    partition_bytes
        Size of one partition's records; when full, new keys are refused.
    answer_bytes
        Largest body kept; of a larger one only that it was answered.
    """

    window: float = WINDOW_SECONDS
    partition_bytes: int = PARTITION_BYTES
    answer_bytes: int = ANSWER_BYTES


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class BeginState(enum.Enum):
    """What the ledger says to a request that wants to run."""

    GRANTED = 'granted'
    JOINED = 'joined'
    ANSWERED = 'answered'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'
    FULL = 'full'
    ABANDONED = 'abandoned'


class RecordState(enum.Enum):
    """What is known of a key."""

    STARTED = 'started'
    ANSWERED = 'answered'
    ABORTED = 'aborted'
    UNKNOWN = 'unknown'
    MISSING = 'missing'


class Begin(Command, frozen=True, kw_only=True):
    """Ask to run.

    Parameters
    ----------
    scope
        Team, caller and key.
    digest
        Tells different requests under one key apart.
    attempt
        Unique for one run at one entry; a repeat repeats it.
    """

    scope: str
    digest: str
    attempt: str
    entry: InstanceId


class Finish(Command, frozen=True, kw_only=True):
    """The run has given this answer; none when it is too large to keep."""

    scope: str
    digest: str
    attempt: str
    entry: InstanceId
    answer: Answer | None = None


class Abort(Command, frozen=True, kw_only=True):
    """The attempt has certainly not run and never will."""

    scope: str
    attempt: str


class Expire(Command, frozen=True, kw_only=True):
    """Nobody will ever tell what became of the attempt."""

    scope: str
    attempt: str


class BeginOutcome(Outcome, frozen=True, kw_only=True):
    """What the ledger says; where the run is, or its answer."""

    state: BeginState
    attempt: str = ''
    entry: InstanceId = InstanceId('')
    answer: Answer | None = None


class RecordOutcome(Outcome, frozen=True, kw_only=True):
    """What is known of the key then."""

    state: RecordState


class AskAttempt(Message, frozen=True, kw_only=True):
    """Wait at an entry for the end of an attempt that runs there."""

    attempt: str
    wait: float


class AttemptReply(Message, frozen=True, kw_only=True):
    """Whether the entry knows of the attempt, and whether it still runs."""

    known: bool
    running: bool
