"""Defines numbered events and writes them to the log."""

import logging
from collections.abc import Callable
from typing import Any

import msgspec


class Event(msgspec.Struct, frozen=True):
    """A kind of log event.

    Parameters
    ----------
    number
        Unique; shown as ``GG1001``.
    level
        A level of `logging`.
    text
        What happened, without a full stop.
    remedy
        What an operator should do; empty if nothing.
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
        """Return the code shown in log lines."""
        return f'GG{self.number}'


_EVENTS: dict[int, Event] = {}
_WATCHERS: list[Callable[[str], None]] = []


def list_events() -> list[Event]:
    """Return all events of the imported modules, ordered by number."""
    return [_EVENTS[number] for number in sorted(_EVENTS)]


def watch_events(callback: Callable[[str], None]) -> None:
    """Call a function, which must not block, with each written event's code."""
    _WATCHERS.append(callback)


def write(logger: logging.Logger, event: Event, **fields: Any) -> None:
    """Log an event with its fields and pass its code to the watchers."""
    for callback in _WATCHERS:
        callback(event.code)
    if not logger.isEnabledFor(event.level):
        return
    logger.log(
        event.level,
        '%s %s',
        event.code,
        event.text,
        extra={'event': event.code, 'fields': fields},
    )
