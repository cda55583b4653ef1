"""Parsing of durations with units, as used in settings."""

import re
from typing import Final

from guavagate.exceptions import SettingsError

_DURATION: Final = re.compile(r'(\d+(?:\.\d+)?)(ms|s|m|h|d)')
_SECONDS: Final = {'ms': 0.001, 's': 1.0, 'm': 60.0, 'h': 3600.0, 'd': 86400.0}


def parse_duration(text: str) -> float:
    """Return seconds for a text such as ``250ms``.

    Raises
    ------
    SettingsError
        The text is not a number with a unit.
    """
    match = _DURATION.fullmatch(text.strip())
    if match is None:
        raise SettingsError(
            f'{text!r} is not a duration',
            'write a number and a unit, such as 250ms, 5s, 2m, 1h or 1d',
        )
    return float(match[1]) * _SECONDS[match[2]]
