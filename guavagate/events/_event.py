"""What a numbered event is, and how it is written."""

import logging
from collections.abc import Callable
from typing import Any

import msgspec


class Event(msgspec.Struct, frozen=True):
    """One kind of log line.

    Parameters
    ----------
    number
        Unique; shown as ``GG1001``.
    level
        A level of `logging`.
    text
        What happened, without a full stop.
    remedy
        What an operator does about it; empty when nothing is to be done.
    """

    number: int
    level: int
    text: str
    remedy: str = ''

    def __post_init__(self) -> None:
        """Register the event under its number."""
        other = _EVENTS.setdefault(self.number, self)
        if other is not self and other != self:
            raise ValueError(f'event number {self.number} is used twice')

    @property
    def code(self) -> str:
        """Return the code that a log line shows."""
        return f'GG{self.number}'


_EVENTS: dict[int, Event] = {}
_WATCHERS: list[Callable[[str], None]] = []


def list_events() -> list[Event]:
    """Return all events imported so far, by number."""
    return [_EVENTS[number] for number in sorted(_EVENTS)]


def watch_events(told: Callable[[str], None]) -> None:
    """Call back, without blocking, with the code of each event written."""
    _WATCHERS.append(told)


def write(logger: logging.Logger, event: Event, **fields: Any) -> None:
    """Write one event with its fields, and tell its code to the watchers."""
    for told in _WATCHERS:
        told(event.code)
    if not logger.isEnabledFor(event.level):
        return
    logger.log(
        event.level,
        '%s %s',
        event.code,
        event.text,
        extra={'event': event.code, 'fields': fields},
    )
