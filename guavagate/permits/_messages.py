"""Messages between an entry and a pool's home."""

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
    """An entry asks for an upstream, and asks again while it waits.

    Parameters
    ----------
    remaining
        Seconds to the work's deadline; clocks of two instances don't agree,
        so the deadline itself is not sent.
    wait
        Seconds after which the home answers that the work is still queued.
    failed_upstream
        Where the attempt before this one failed, if there was one; said in
        the same message, so that the failed slot is free and the retry is
        judged before the work is queued again.
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

    `expected_pace` is in seconds a token; zero when nothing is expected.
    """

    pool: PoolKey
    work_id: RequestId
    upstream: UpstreamId
    address: str
    expected_pace: float = 0


class PermitRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why there will be no permit; the work has not run."""

    reason: str
    text: str
    retry_after: float


class PermitReply(Message, frozen=True, kw_only=True):
    """A permit, a refusal, or neither while the work is queued."""

    permit: Permit | None = None
    refusal: PermitRefusal | None = None
    not_home: bool = False


class ReleasePermit(Message, frozen=True, kw_only=True):
    """The work under a permit has ended; seconds and tokens measured."""

    pool: PoolKey
    work_id: RequestId
    upstream: UpstreamId
    ended: Release
    tokens: int = 0
    seconds: float = 0
    first_token_seconds: float = 0
    cached_tokens: int = 0


class RunCopy(Message, frozen=True, kw_only=True):
    """The home offers an idle slot for a second copy of slow work."""

    permit: Permit


class ReportSlow(Message, frozen=True, kw_only=True):
    """An entry sees a stream at far less than the pace it was placed for.

    Parameters
    ----------
    pace
        Seconds a token, measured.
    """

    pool: PoolKey
    work_id: RequestId
    upstream: UpstreamId
    pace: float


class WithdrawWork(Message, frozen=True, kw_only=True):
    """The entry no longer waits; a permit on its way is given back."""

    pool: PoolKey
    work_id: RequestId


class HeldPermit(msgspec.Struct, frozen=True, kw_only=True):
    """One permit that an entry works under."""

    work: Work
    upstream: UpstreamId


class HeldPermits(Message, frozen=True, kw_only=True):
    """All permits of one pool that an entry works under.

    Sent when the pool's home has moved: the new home counts what runs before
    it grants, so that a takeover does not overfill the engines.
    """

    pool: PoolKey
    held: tuple[HeldPermit, ...]


class AskHeld(Message, frozen=True, kw_only=True):
    """A home asks an entry about permits that were given out long ago."""

    pool: PoolKey
    work_ids: tuple[RequestId, ...]


class HeldReply(Message, frozen=True, kw_only=True):
    """Those of the permits asked about that the entry does not hold."""

    missing: tuple[RequestId, ...]
