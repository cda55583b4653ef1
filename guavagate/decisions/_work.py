"""What is decided about, and what a decision looks like."""

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

# A prompt token costs a fiftieth of a generated one: prefill handles a prompt
# in parallel, and published engines read 20 to 100 times as fast as they
# write. Only the ratio matters here, and only for expected times.
PREFILL_SHARE: Final = 0.02


class _Constant(enum.Enum):
    """An enum whose members are looked up in C.

    Its own hash is a Python function; with some ten look-ups a choice that
    was a tenth of the choice's time. Members are singletons, so identity is
    as good.
    """

    __hash__ = object.__hash__


class Kind(_Constant):
    """Whose work it is: a waiting caller's, or a trainer's."""

    INTERACTIVE = 'interactive'
    ROLLOUT = 'rollout'


class Safeguard(_Constant):
    """Each part of the policy that can be switched off to measure it."""

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
    """Why work was refused; all of them mean that it was not run."""

    TOO_LATE = 'deadline_unreachable'
    EXPIRED = 'deadline_passed_in_queue'
    QUEUE_FULL = 'queue_full'
    NO_SAMPLER = 'no_sampler'
    RETRY_BUDGET = 'retry_budget_spent'
    NOT_REPEATABLE = 'not_repeatable'
    LEAVING = 'home_leaving'


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """One request or sample that wants a sampler.

    Parameters
    ----------
    deadline
        When the answer must be whole, in the clock's seconds.
    prefix_keys
        Hashes of the prompt's growing prefixes, the shortest first.
    expected_tokens
        Estimated length of the answer; may be wrong by a factor of two.
    min_version
        Oldest weight version that may produce it, if any is demanded.
    idempotent
        Whether it may run again when it may have started.
    weight
        The caller's or run's weight within its team.
    step
        A trainer's step; the older one is served first.
    """

    id: RequestId
    team: TeamId
    caller: CallerId
    kind: Kind = Kind.INTERACTIVE
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


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """A choice with its reason, as the log and ``explain`` show it."""

    subject: str
    kind: str
    choice: str
    reason: str
    turned_down: dict[str, str] = {}


class Queued(msgspec.Struct, frozen=True, kw_only=True):
    """Work was taken; `expected_wait` is in seconds."""

    work_id: RequestId
    expected_wait: float
    decision: Decision


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """Work was refused and has not run; `retry_after` is in seconds."""

    work_id: RequestId
    reason: RefusalReason
    retry_after: float
    decision: Decision


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Work may start on a sampler now; `duplicate` marks a second copy.

    `expected_pace` is in seconds per token of a healthy sampler.
    """

    work: Work
    sampler: SamplerId
    expected_seconds: float
    expected_token_interval: float
    decision: Decision
    duplicate: bool = False


def has_constraints(work: Work) -> bool:
    """Return whether not every sampler may run the work."""
    return bool(work.excluded or work.adapter or work.min_version is not None)


def estimate_cost(work: Work, cached_tokens: float = 0) -> float:
    """Return the work's cost in generated tokens."""
    prompt = max(work.prompt_tokens - cached_tokens, 0)
    return work.expected_tokens + prompt * PREFILL_SHARE
