"""Log lines for people and for machines."""

import logging
import sys
import time
from typing import Any, Final, TextIO

import msgspec

_TIME: Final = '%Y-%m-%dT%H:%M:%S'
_MILLIS: Final = 1000
_ENCODER: Final = msgspec.json.Encoder(enc_hook=str)


class HumanFormatter(logging.Formatter):
    """One line: time, level, event code and text, then its fields."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._shown = ''

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line, a traceback below it."""
        parts = [
            self._show_time(record.created),
            record.levelname,
            record.getMessage(),
        ]
        fields = getattr(record, 'fields', None) or {}
        parts += [f'{name}={_show(value)}' for name, value in fields.items()]
        line = ' '.join(parts)
        if record.exc_info:
            return f'{line}\n{self.formatException(record.exc_info)}'
        return line

    def _show_time(self, created: float) -> str:
        # Hundreds of lines share a second, and rendering it costs as much as
        # the rest of a line.
        second = int(created)
        if second != self._second:
            self._second = second
            self._shown = time.strftime(_TIME, time.gmtime(second))
        return f'{self._shown}.{int(created * _MILLIS) % _MILLIS:03}Z'


class JsonFormatter(logging.Formatter):
    """One JSON object a line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON."""
        line: dict[str, Any] = {
            'time': record.created,
            'level': record.levelname,
            'logger': record.name,
            'event': getattr(record, 'event', None),
            'text': record.getMessage(),
            **getattr(record, 'fields', {}),
        }
        if record.exc_info:
            line['traceback'] = self.formatException(record.exc_info)
        return _ENCODER.encode(line).decode()


def set_up_logging(
    log_format: str,
    level: int = logging.INFO,
    stream: TextIO | None = None,
) -> None:
    """Send guavagate's log to a stream, standard error by default.

    Parameters
    ----------
    log_format
        ``human`` or ``json``.
    """
    # Nothing prints the caller's file, thread or process, and finding them
    # costs each line a quarter of its time (see Optimization in logging).
    logging._srcfile = None  # type: ignore[attr-defined]
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter() if log_format == 'json' else HumanFormatter()
    )
    logger = logging.getLogger('guavagate')
    logger.handlers.clear()
    logger.addHandler(handler)
    logger.setLevel(level)
    logger.propagate = False


def _show(value: Any) -> str:
    text = str(value)
    if not text or ' ' in text or '\n' in text or '"' in text:
        return msgspec.json.encode(text).decode()
    return text
