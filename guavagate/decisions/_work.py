"""Work items, and the decisions about them."""

import enum
import math
from typing import Final

import msgspec

from guavagate.models import (
    CallerId,
    RequestId,
    RunId,
    SamplerId,
    TeamId,
    WeightVersion,
    ZoneId,
)
from guavagate.quarantine import RequestIdentity

# Cost of a prompt token relative to a generated one. Prefill reads a prompt in
# parallel, and published engines read 20 to 100 times as fast as they write.
# Only the ratio matters, and only for expected times.
PREFILL_SHARE: Final = 0.02


class _FastHashEnum(enum.Enum):
    """An enum whose members are hashed in C.

    The hash of `enum.Enum` is a Python function; with some ten lookups per
    placement it took a tenth of the placement's time. Members are singletons,
    so hashing by identity is equivalent.
    """

    __hash__ = object.__hash__


class WorkKind(_FastHashEnum):
    """Whether a caller waits for the work or a trainer."""

    INTERACTIVE = 'interactive'
    ROLLOUT = 'rollout'


class Safeguard(_FastHashEnum):
    """Parts of the policy that can be switched off to measure their effect."""

    ADMISSION = 'admission'
    EXPIRY = 'expiry'
    FAIRNESS = 'fairness'
    HEADROOM = 'headroom'
    RESERVE = 'reserve'
    ORDER = 'order'
    AFFINITY = 'affinity'
    BOUNDED_LOAD = 'bounded-load'
    GAPS = 'gaps'
    LIMIT = 'limit'
    RETRY_BUDGET = 'retry-budget'
    HEDGING = 'hedging'
    EJECTION = 'ejection'
    TAIL = 'tail'


ALL_SAFEGUARDS: Final = frozenset(Safeguard)


class RefusalReason(enum.Enum):
    """Why work was refused.

    Refused work has not run, unless an attempt at it failed after its start.
    """

    TOO_LATE = 'deadline_unreachable'
    EXPIRED = 'deadline_passed_in_queue'
    QUEUE_FULL = 'queue_full'
    NO_SAMPLER = 'no_sampler'
    RETRY_BUDGET = 'retry_budget_spent'
    NOT_REPEATABLE = 'not_repeatable'
    OWNER_LEAVING = 'home_leaving'


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """One request or sample that needs a sampler.

    Parameters
    ----------
    deadline
        When the answer must be complete, in seconds of the clock.
    prefix_keys
        Hashes of the prompt's growing prefixes, the shortest first.
    expected_tokens
        Estimated length of the answer; may be wrong by a factor of two.
    min_version
        Oldest weight version that may produce it, if one is required.
    idempotent
        Whether it may run again when it may have started.
    weight
        The caller's or run's weight within its team.
    step
        A trainer's step; older steps are served first.
    identity
        What recognizes the request under another id. Work without one is not
        stopped, whatever upstreams end under it; samples and their scores have
        none, as a step can't be completed without them.
    """

    id: RequestId
    team: TeamId
    caller: CallerId
    kind: WorkKind = WorkKind.INTERACTIVE
    deadline: float = math.inf
    prefix_keys: tuple[int, ...] = ()
    prompt_tokens: int = 0
    expected_tokens: int = 256
    min_version: WeightVersion | None = None
    adapter: str = ''
    excluded: frozenset[SamplerId] = frozenset()
    idempotent: bool = True
    run: RunId | None = None
    step: int = 0
    weight: float = 1.0
    team_weight: float = 1.0
    zone: ZoneId = ZoneId('')
    identity: RequestIdentity | None = None


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """A choice with its reason, for the log and ``explain``."""

    subject: str
    kind: str
    choice: str
    reason: str
    turned_down: dict[str, str] = {}


class Queued(msgspec.Struct, frozen=True, kw_only=True):
    """Work that was admitted; `expected_wait` is in seconds."""

    work_id: RequestId
    expected_wait: float
    decision: Decision


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """Work that was refused; `retry_after` is in seconds."""

    work_id: RequestId
    reason: RefusalReason
    retry_after: float
    decision: Decision


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Work that may start on a sampler; `duplicate` marks a speculative run.

    `expected_token_interval` is in seconds per token of a healthy sampler.
    """

    work: Work
    sampler: SamplerId
    expected_seconds: float
    expected_token_interval: float
    decision: Decision
    duplicate: bool = False


def has_constraints(work: Work) -> bool:
    """Return whether only some samplers may run the work."""
    return bool(work.excluded or work.adapter or work.min_version is not None)


def estimate_cost(work: Work, cached_tokens: float = 0) -> float:
    """Return the work's cost in generated tokens."""
    prompt = max(work.prompt_tokens - cached_tokens, 0)
    return work.expected_tokens + prompt * PREFILL_SHARE
