"""Formats log lines as text or as JSON."""

import logging
import sys
import time
from typing import Any, Final, TextIO

import msgspec

_TIME: Final = '%Y-%m-%dT%H:%M:%S'
_MILLIS: Final = 1000
_ENCODER: Final = msgspec.json.Encoder(enc_hook=str)


class HumanFormatter(logging.Formatter):
    """Formats a record as time, level, event code, text and fields."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._formatted = ''

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line, followed by any traceback."""
        parts = [
            self._format_time(record.created),
            record.levelname,
            record.getMessage(),
        ]
        fields = getattr(record, 'fields', None) or {}
        parts += [
            f'{name}={_format_value(value)}' for name, value in fields.items()
        ]
        line = ' '.join(parts)
        if record.exc_info:
            return f'{line}\n{self.formatException(record.exc_info)}'
        return line

    def _format_time(self, created: float) -> str:
        # Hundreds of lines share a second, and formatting the second costs as
        # much as the rest of the line.
        second = int(created)
        if second != self._second:
            self._second = second
            self._formatted = time.strftime(_TIME, time.gmtime(second))
        return f'{self._formatted}.{int(created * _MILLIS) % _MILLIS:03}Z'


class JsonFormatter(logging.Formatter):
    """Formats each record as a JSON object on one line."""

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
    """Send the log to a stream, by default to standard error.

    Parameters
    ----------
    log_format
        ``human`` or ``json``.
    """
    # No format contains the caller's file, thread or process, and looking them
    # up takes a quarter of each line's time (see "Optimization" in the docs of
    # the logging module).
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


def _format_value(value: Any) -> str:
    text = str(value)
    if not text or ' ' in text or '\n' in text or '"' in text:
        return msgspec.json.encode(text).decode()
    return text
