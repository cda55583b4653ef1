"""How a forwarded request ended for its caller."""

import enum
import logging
from typing import Final

import msgspec

from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.forwarding._attempt import Attempt
from guavagate.ports.configuration import Route
from guavagate.ports.dialect import Call
from guavagate.routing import Obstacle

_LOGGER: Final = logging.getLogger(__name__)

# A full upstream has a free slot again after about one request's work.
RETRY_AFTER_SECONDS: Final = 0.2


class OutcomeKind(enum.Enum):
    """How a request ended for its caller."""

    ANSWER = 'answer'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    LATE = 'late'
    CALLER_LEFT = 'caller left'


class Outcome(msgspec.Struct):
    """The outcome of a request; `retry_after` in seconds.

    `failed_answers` counts the upstreams that ran it and answered 500.
    `began_at` is when it was sent to the first upstream that may have run it,
    on the runtime's clock, or `None` if none has. `stopped` means that it is
    sent to no upstream, because upstreams ended under it.
    """

    kind: OutcomeKind
    attempt: Attempt | None = None
    reason: str = ''
    retry_after: float = RETRY_AFTER_SECONDS
    failed_answers: int = 0
    began_at: float | None = None
    stopped: bool = False


def describe_obstacle(obstacle: Obstacle | None) -> str:
    """Return the reason of a refusal, or '' if upstreams may be used."""
    return '' if obstacle is None else f'no upstream: {obstacle.value}'


def log_outcome(
    call: Call, route: Route, outcome: Outcome, seconds: float
) -> None:
    """Log the outcome of a request."""
    event = events.FORWARDED
    fields: dict[str, str] = {}
    if outcome.kind is OutcomeKind.CALLER_LEFT:
        event = events.CALLER_DISCONNECTED
    elif outcome.kind is not OutcomeKind.ANSWER:
        event = events.REQUEST_GIVEN_UP
        fields['content'] = call.content.identify().content
    attempt = outcome.attempt
    write(
        _LOGGER,
        event,
        request=call.id,
        route=route.name,
        kind=outcome.kind.value,
        upstream=None if attempt is None else attempt.upstream.id,
        status=None if attempt is None else attempt.status,
        reason=outcome.reason,
        seconds=round(seconds, 3),
        **fields,
    )
