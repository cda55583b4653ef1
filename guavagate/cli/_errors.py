"""Errors and exit codes of the tool."""

import enum
from typing import Final

import click

from guavagate.exceptions import GuavagateError


class ExitCode(enum.IntEnum):
    """Exit codes; click itself uses 2 for a wrong command line."""

    INVALID = 3
    CONFLICT = 4
    UNSURE = 5
    UNAVAILABLE = 6
    REFUSED = 7
    NOT_FOUND = 8
    LAGGING = 9


_BY_CODE: Final = {
    'invalid_settings': ExitCode.INVALID,
    'invalid_body': ExitCode.INVALID,
    'malformed_json': ExitCode.INVALID,
    'body_too_large': ExitCode.INVALID,
    'conflict': ExitCode.CONFLICT,
    'unsure': ExitCode.UNSURE,
    'unauthorized': ExitCode.REFUSED,
    'forbidden': ExitCode.REFUSED,
    'not_found': ExitCode.NOT_FOUND,
}


class ToolError(click.ClickException):
    """Ends the tool with a message and an exit code."""

    def __init__(self, message: str, exit_code: ExitCode) -> None:
        super().__init__(message)
        # click reads it from the instance but declares it on the class.
        self.exit_code = exit_code  # type: ignore[misc]


def to_tool_error(
    error: GuavagateError, exit_code: ExitCode = ExitCode.INVALID
) -> ToolError:
    """Return a tool error with the text of a guavagate error."""
    return ToolError(str(error), exit_code)


def find_exit_code(code: str) -> ExitCode:
    """Return the exit code for the error code of an answer."""
    return _BY_CODE.get(code, ExitCode.UNAVAILABLE)
