"""Messages between an entry and a pool's queue owner."""

import enum

import msgspec

from guavagate.decisions import Work
from guavagate.links import Message
from guavagate.models import RequestId, UpstreamId

PoolKey = str


class Release(enum.Enum):
    """How the work under a permit ended."""

    DONE = 'done'
    FAILED = 'failed'
    NOT_STARTED = 'not_started'
    LEAVING = 'leaving'
    CANCELLED = 'cancelled'
    COPY_FAILED = 'copy_failed'


class AskPermit(Message, frozen=True, kw_only=True):
    """Requests an upstream; the entry repeats it while it waits.

    Parameters
    ----------
    remaining
        Seconds to the work's deadline. Clocks of two instances differ, so the
        deadline itself is not sent.
    wait
        Seconds after which the queue owner replies that the work is still
        queued.
    failed_upstream
        Where the previous attempt failed, if there was one. It is part of
        this message so that the queue owner frees the slot and decides on the
        retry before it queues the work again.
    failed_started
        Whether that attempt may have started.
    """

    pool: PoolKey
    work: Work
    remaining: float
    wait: float
    failed_upstream: UpstreamId | None = None
    failed_started: bool = False
    failed_leaving: bool = False


class Permit(msgspec.Struct, frozen=True, kw_only=True):
    """The right to run one piece of work on one upstream.

    `expected_pace` is in seconds per token; zero when there is no estimate.
    """

    pool: PoolKey
    work_id: RequestId
    upstream: UpstreamId
    address: str
    expected_pace: float = 0


class PermitRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """Says why the work gets no permit; only a failed attempt may have run."""

    reason: str
    text: str
    retry_after: float


class PermitReply(Message, frozen=True, kw_only=True):
    """Contains a permit, a refusal, or neither while the work is queued.

    `not_home` says that the receiver does not own the pool's queue.
    """

    permit: Permit | None = None
    refusal: PermitRefusal | None = None
    not_home: bool = False


class ReleasePermit(Message, frozen=True, kw_only=True):
    """Reports the end of the work under a permit, with measurements."""

    pool: PoolKey
    work_id: RequestId
    upstream: UpstreamId
    ended: Release
    tokens: int = 0
    seconds: float = 0
    first_token_seconds: float = 0
    cached_tokens: int = 0


class RunCopy(Message, frozen=True, kw_only=True):
    """Offers an idle slot for a speculative run of slow work."""

    permit: Permit


class ReportSlow(Message, frozen=True, kw_only=True):
    """Reports a stream that is much slower than its placement expected.

    Parameters
    ----------
    pace
        Measured seconds per token.
    """

    pool: PoolKey
    work_id: RequestId
    upstream: UpstreamId
    pace: float


class WithdrawWork(Message, frozen=True, kw_only=True):
    """Withdraws an entry's work; releases a permit that was just granted."""

    pool: PoolKey
    work_id: RequestId


class HeldPermit(msgspec.Struct, frozen=True, kw_only=True):
    """One permit that is in use at an entry."""

    work: Work
    upstream: UpstreamId


class HeldPermits(Message, frozen=True, kw_only=True):
    """All permits of one pool that are in use at an entry.

    Sent to a new queue owner. It counts the running work before it grants
    permits, so that a takeover does not overload the engines.
    """

    pool: PoolKey
    held: tuple[HeldPermit, ...]


class AskHeld(Message, frozen=True, kw_only=True):
    """Checks whether an entry still uses permits that were granted long ago."""

    pool: PoolKey
    work_ids: tuple[RequestId, ...]


class HeldReply(Message, frozen=True, kw_only=True):
    """Lists those of the checked permits that the entry does not use."""

    missing: tuple[RequestId, ...]
