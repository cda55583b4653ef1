"""Events that callers, trainers and upstreams record in a history."""

import enum
from typing import TypeAlias

import msgspec


class _Event(msgspec.Struct, frozen=True, kw_only=True, tag_field='event'):
    """Base of all events.

    Parameters
    ----------
    at
        Seconds on a clock that all recorders share.
    who
        Name of the caller, trainer or upstream that recorded it.
    """

    at: float
    who: str = ''


class SentRequest(_Event, frozen=True, kw_only=True):
    """A caller sent one attempt of a request.

    Parameters
    ----------
    request
        Id of the request, shared by all its attempts.
    attempt
        Unique id of the attempt.
    key
        Idempotency key, or empty if none was sent.
    idempotent
        Whether the request may run more than once.
    """

    request: str
    attempt: str
    key: str = ''
    body: str = ''
    idempotent: bool = False


class RanAtUpstream(_Event, frozen=True, kw_only=True):
    """An upstream started to run a request with `body`."""

    request: str
    body: str = ''
    exchange: str = ''


class AnsweredByUpstream(_Event, frozen=True, kw_only=True):
    """An upstream sent its complete answer."""

    request: str
    answer: str
    exchange: str = ''


class Received(_Event, frozen=True, kw_only=True):
    """A caller received the complete answer to an attempt."""

    request: str
    attempt: str
    answer: str
    versions: tuple[int, ...] = ()


class ReceivedRefusal(_Event, frozen=True, kw_only=True):
    """A caller received a refusal; `not_run` is true, false or unknown."""

    request: str
    attempt: str
    reason: str = ''
    not_run: str = 'unknown'


class BrokeOff(_Event, frozen=True, kw_only=True):
    """An attempt lost its connection or timed out without an answer."""

    request: str
    attempt: str


class SubmittedStep(_Event, frozen=True, kw_only=True):
    """A trainer submitted a step; a resubmission has the same name."""

    run: str
    step: str
    groups: int
    samples_per_group: int


class PublishedVersion(_Event, frozen=True, kw_only=True):
    """A trainer's publication of a version was confirmed."""

    run: str
    version: int
    max_staleness: int = 2


class GeneratedPiece(_Event, frozen=True, kw_only=True):
    """An engine generated a piece of text with one version's weights."""

    exchange: str
    version: int
    text: str
    sample: str = ''
    request: str = ''


class PulledBatch(_Event, frozen=True, kw_only=True):
    """A trainer received an answer to a pull.

    Parameters
    ----------
    cursor
        Cursor that the pull sent.
    follows
        Cursor for the next pull.
    newest
        Newest version that the trainer had published when it pulled.
    """

    run: str
    step: str
    cursor: str
    follows: str
    newest: int
    samples: tuple['PulledSample', ...] = ()


class PulledSample(msgspec.Struct, frozen=True, kw_only=True):
    """One sample of a batch, with the weight versions that it reports."""

    sample: str
    versions: tuple[int, ...]
    text: str = ''
    exchanges: tuple[str, ...] = ()


class Acked(_Event, frozen=True, kw_only=True):
    """A trainer accepted the batch that ends at a cursor."""

    run: str
    step: str
    cursor: str


class StepDone(_Event, frozen=True, kw_only=True):
    """A trainer was notified that its step is complete and delivered."""

    run: str
    step: str


class SentCommand(_Event, frozen=True, kw_only=True):
    """A client sent a partition a command to increment a counter."""

    key: str
    command: str


class CommandApplied(_Event, frozen=True, kw_only=True):
    """A partition answered a command with the counter's new total."""

    key: str
    command: str
    total: int


class CommandRefused(_Event, frozen=True, kw_only=True):
    """A command failed and is known not to have been applied."""

    key: str
    command: str


class FaultInjected(_Event, frozen=True, kw_only=True):
    """A fault was injected; recorded only to explain traces."""

    fault: str


Event: TypeAlias = (
    SentRequest
    | RanAtUpstream
    | AnsweredByUpstream
    | Received
    | ReceivedRefusal
    | BrokeOff
    | SubmittedStep
    | PublishedVersion
    | GeneratedPiece
    | PulledBatch
    | Acked
    | StepDone
    | SentCommand
    | CommandApplied
    | CommandRefused
    | FaultInjected
)


class Promise(enum.Enum):
    """Guarantees that a history can verify."""

    RUN_AT_MOST_ONCE = 'a non-idempotent request runs at most once'
    OWN_WHOLE_ANSWER = 'a caller receives the whole answer to its request'
    NOT_RUN_IS_TRUE = 'a refusal that says not run is true'
    DELIVERED_ONCE = 'every sample is delivered exactly once'
    TRUE_VERSIONS = 'every sample names the versions that made it'
    APPLIED_ONCE = 'an answered command is applied once and kept'
    FRESH = 'no sample is older than the staleness bound'


class Violation(msgspec.Struct, frozen=True):
    """A broken promise, with the events that show it."""

    promise: Promise
    subject: str
    problem: str
    trace: tuple[Event, ...] = ()
