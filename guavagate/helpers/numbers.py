"""Decodes whole numbers that come from outside the process."""

from typing import Final

# 18 digits fit a signed number of 64 bits, and no field needs more. Python
# takes a time that grows with the square of the digits, and refuses thousands.
MAX_DIGITS: Final = 18


def parse_whole_number(text: str, max_digits: int = MAX_DIGITS) -> int | None:
    """Return a whole number from 0 on, or `None` for anything else.

    `str.isdigit` is no such check: it accepts digits of other scripts and
    superscripts, for which `int` raises an error.
    """
    if not text.isascii() or not text.isdigit() or len(text) > max_digits:
        return None
    return int(text)
