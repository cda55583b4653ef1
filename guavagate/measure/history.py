"""Record and check histories of callers, trainers and upstreams.

A history is a list of events that the clients and upstreams of guavagate
record themselves; files store it as JSON lines. `check` finds violations of
every promise from the history alone.
"""

from collections.abc import Iterable
from pathlib import Path

import msgspec

from guavagate.measure._checks import CHECKS
from guavagate.measure._events import (
    Acked,
    AnsweredByUpstream,
    BrokeOff,
    CommandApplied,
    CommandRefused,
    Event,
    FaultInjected,
    GeneratedPiece,
    Promise,
    PublishedVersion,
    PulledBatch,
    PulledSample,
    RanAtUpstream,
    Received,
    ReceivedRefusal,
    SentCommand,
    SentRequest,
    StepDone,
    SubmittedStep,
    Violation,
)

__all__ = (
    'Acked',
    'AnsweredByUpstream',
    'BrokeOff',
    'SentCommand',
    'CommandApplied',
    'CommandRefused',
    'Event',
    'FaultInjected',
    'GeneratedPiece',
    'Promise',
    'PublishedVersion',
    'PulledBatch',
    'PulledSample',
    'RanAtUpstream',
    'Received',
    'ReceivedRefusal',
    'SentRequest',
    'StepDone',
    'SubmittedStep',
    'Violation',
    'check',
    'read_history',
    'write_history',
)


def write_history(path: Path, history: Iterable[Event]) -> None:
    """Write a history as JSON lines."""
    with path.open('wb') as lines:
        for event in history:
            lines.write(msgspec.json.encode(event))
            lines.write(b'\n')


def read_history(*paths: Path) -> list[Event]:
    """Read the histories of several recorders, ordered by time."""
    decoder = msgspec.json.Decoder(Event)
    events: list[Event] = []
    for path in paths:
        lines = path.read_bytes().splitlines()
        events.extend(decoder.decode(line) for line in lines if line)
    return sorted(events, key=lambda event: event.at)


def check(history: Iterable[Event]) -> list[Violation]:
    """Return every violation of a promise that a history shows.

    Events may come in any order; they are sorted by time.
    """
    ordered = sorted(history, key=lambda event: event.at)
    return [violation for find in CHECKS for violation in find(ordered)]
