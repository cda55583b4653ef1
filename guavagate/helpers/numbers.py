"""Decodes whole numbers that come from outside the process."""

from typing import Annotated, Final

import msgspec

from guavagate.exceptions import BadNumberError

# 18 digits fit a signed number of 64 bits, and no field needs more. Python
# takes a time that grows with the square of the digits, and refuses thousands.
MAX_DIGITS: Final = 18
# Larger ones can't be sent to peers.
MAX_WHOLE_NUMBER: Final = 10**MAX_DIGITS - 1
WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
# Of these, a float has each whole number exactly.
_MAX_FLOAT: Final = 2**53
_SHOWN_CHARACTERS: Final = 40


def parse_whole_number(text: str, max_digits: int = MAX_DIGITS) -> int | None:
    """Return a whole number from 0 on, or `None` for anything else.

    `str.isdigit` is no such check: it accepts digits of other scripts and
    superscripts, for which `int` raises an error.
    """
    if not text.isascii() or not text.isdigit() or len(text) > max_digits:
        return None
    return int(text)


def read_whole_number(
    name: str, text: str, most: int = MAX_WHOLE_NUMBER
) -> int:
    """Return the value of a field that must be a whole number.

    Raises
    ------
    BadNumberError
        It is none, or more than `most`; the message names the field.
    """
    number = parse_whole_number(text)
    if number is None or number > most:
        raise BadNumberError(
            f'{name} is {text[:_SHOWN_CHARACTERS]!r}',
            f'send a whole number from 0 to {most}',
        )
    return number


def floor_number(number: float) -> int:
    """Return a decoded number without its fraction; 0 for one out of range."""
    return int(number) if abs(number) <= _MAX_FLOAT else 0
