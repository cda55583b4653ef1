"""Commands to the ledger's state, their outcomes, and messages."""

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
    """Limits of a ledger; must be the same at every instance.

    Parameters
    ----------
    window
        Seconds for which a key is stored; no key expires earlier.
    partition_bytes
        Maximum size of one partition's records; beyond it, new keys are
        refused.
    answer_bytes
        Largest stored body; for a larger answer, only the fact that the request
        was answered is stored.
    """

    window: float = WINDOW_SECONDS
    partition_bytes: int = PARTITION_BYTES
    answer_bytes: int = ANSWER_BYTES


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''


class BeginState(enum.Enum):
    """The ledger's decision on a request to run."""

    GRANTED = 'granted'
    JOINED = 'joined'
    ANSWERED = 'answered'
    ANSWER_NOT_KEPT = 'answer_not_kept'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'
    FULL = 'full'
    ABANDONED = 'abandoned'


class RecordState(enum.Enum):
    """The state of a key's record."""

    STARTED = 'started'
    ANSWERED = 'answered'
    ABORTED = 'aborted'
    UNKNOWN = 'unknown'
    MISSING = 'missing'


class Begin(Command, frozen=True, kw_only=True):
    """Request permission to run.

    Parameters
    ----------
    scope
        Team, caller and key.
    digest
        Detects different requests with the same key.
    attempt
        Unique for one run at one entry; a repeated command has the same one.
    """

    scope: str
    digest: str
    attempt: str
    entry: InstanceId


class Finish(Command, frozen=True, kw_only=True):
    """The run ended; `answer` is None if it is too large to store."""

    scope: str
    digest: str
    attempt: str
    entry: InstanceId
    answer: Answer | None = None


class Abort(Command, frozen=True, kw_only=True):
    """The attempt has not run and never will."""

    scope: str
    attempt: str


class Expire(Command, frozen=True, kw_only=True):
    """The outcome of the attempt can no longer be determined."""

    scope: str
    attempt: str


class BeginOutcome(Outcome, frozen=True, kw_only=True):
    """The decision, with the attempt that runs or the stored answer."""

    state: BeginState
    attempt: str = ''
    entry: InstanceId = InstanceId('')
    answer: Answer | None = None


class RecordOutcome(Outcome, frozen=True, kw_only=True):
    """The state of the key after the command."""

    state: RecordState


class AskAttempt(Message, frozen=True, kw_only=True):
    """Wait for the end of an attempt that runs at the receiving entry."""

    attempt: str
    wait: float


class AttemptReply(Message, frozen=True, kw_only=True):
    """Whether the entry knows the attempt, and whether it still runs."""

    known: bool
    running: bool
