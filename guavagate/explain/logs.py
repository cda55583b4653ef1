"""Traces a request or job through the logs of several instances.

A line is JSON. A log collector may have put a prefix before it, whose last word
names the line's source. Lines that can't be decoded are skipped with a debug
message.
"""

import logging
from collections.abc import Iterable, Iterator
from typing import Any, Final

import msgspec

from guavagate.events import fleet, forwarding, jobs
from guavagate.helpers.decoding import decode_json

# Events that affect all work; shown between the lines about a subject.
_CLUSTER_EVENTS: Final = frozenset(
    event.code
    for event in (
        fleet.MEMBER_DEAD,
        fleet.MEMBER_LEAVING,
        fleet.STORE_DOWN,
        fleet.STORE_UP,
        forwarding.CONFIGURATION_IN_FORCE,
        forwarding.MIRROR_STALE,
        forwarding.MIRROR_RECOVERED,
        forwarding.STORE_THROUGH_PEER,
        forwarding.UPSTREAM_EJECTED,
        forwarding.UPSTREAM_FOUND_ENDED,
        forwarding.REQUEST_STOPPED,
        forwarding.UPSTREAM_LEAVING,
        forwarding.UPSTREAM_GONE,
        jobs.JOBS_TAKEN_OVER,
        jobs.JOBS_RETURNED,
        jobs.COORDINATOR_STARTED,
        jobs.COORDINATOR_STOPPED,
        jobs.LEASE_ACQUIRED,
        jobs.LEASE_LOST,
        jobs.ORDER_FAILED,
    )
)
_STANDARD_FIELDS: Final = frozenset(
    ('time', 'level', 'logger', 'event', 'text')
)
_LOGGER: Final = logging.getLogger(__name__)


class LogLine(msgspec.Struct, frozen=True):
    """One log line of one instance."""

    time: float
    source: str
    event: str
    text: str
    fields: dict[str, Any]

    def mentions(self, subject: str) -> bool:
        """Return whether a field of the line starts with a subject."""
        return any(
            str(value).startswith(subject) for value in self.fields.values()
        )


def read_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events in a log; skip other lines."""
    for line in lines:
        prefix, brace, rest = line.partition('{')
        if not brace:
            continue
        try:
            record = decode_json(f'{brace}{rest}', dict[str, Any])
        except msgspec.DecodeError:
            _LOGGER.debug('not an event: %s', line[:80])
            continue
        if not record.get('event'):
            continue
        words = prefix.split()
        fields = {
            name: value
            for name, value in record.items()
            if name not in _STANDARD_FIELDS
        }
        yield LogLine(
            float(record.get('time', 0)),
            words[-1] if words else source,
            str(record['event']),
            str(record.get('text', '')),
            fields,
        )


def trace_subject(subject: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return a subject's lines and concurrent cluster events, in time order.

    Parameters
    ----------
    subject
        Id, or start of an id, of a request, job, item, sampler or model.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.mentions(subject)]
    if not own:
        return []
    began, ended = own[0].time, own[-1].time
    known = {id(line) for line in own}
    return [
        line
        for line in ordered
        if id(line) in known
        or (line.event in _CLUSTER_EVENTS and began <= line.time <= ended)
    ]


def render_trace(trace: list[LogLine]) -> list[str]:
    """Return readable lines: seconds since the first, source and text."""
    if not trace:
        return []
    first = trace[0].time
    width = max(len(line.source) for line in trace)
    return [
        f'{line.time - first:9.3f}  {line.source:<{width}}  {line.text}'
        f'  {_format_fields(line.fields)}'.rstrip()
        for line in trace
    ]


def _format_fields(fields: dict[str, Any]) -> str:
    return ' '.join(
        f'{name}={value}'
        for name, value in fields.items()
        if value not in (None, '')
    )
