"""Log lines for people and for machines."""

import logging
import sys
from typing import Any, Final, TextIO

import msgspec

_TIME: Final = '%Y-%m-%dT%H:%M:%S'


class HumanFormatter(logging.Formatter):
    """One line: time, level, event code and text, then its fields."""

    def __init__(self) -> None:
        super().__init__('%(asctime)s %(levelname)s %(message)s', _TIME)

    def formatMessage(self, record: logging.LogRecord) -> str:  # noqa: N802
        """Return the line with the event's fields after it."""
        line = super().formatMessage(record)
        fields = getattr(record, 'fields', None)
        if not fields:
            return line
        shown = ' '.join(
            f'{name}={_show(value)}' for name, value in fields.items()
        )
        return f'{line} {shown}'


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
        return msgspec.json.encode(line, enc_hook=str).decode()


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
