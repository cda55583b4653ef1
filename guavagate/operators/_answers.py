"""JSON answers and errors of the operators' routes."""

import difflib
from typing import Any

import falcon
import msgspec

from guavagate.exceptions import (
    GuavagateError,
    LinkError,
    RefusalError,
    SettingsError,
    StoreError,
)
from guavagate.settings import (
    Change,
    Problem,
    SettingsConflictError,
    SettingsProblemsError,
    SettingsUnsureError,
)


class ErrorDetail(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Why something was refused, and what the operator can do.

    Parameters
    ----------
    other
        The change that a conflict met.
    toml
        The text in force in its place.
    """

    code: str
    message: str
    remedy: str
    problems: tuple[Problem, ...] = ()
    other: Change | None = None
    toml: str = ''


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of a refusal."""

    error: ErrorDetail


def write_json(response: falcon.Response, body: Any, status: int = 200) -> None:
    """Answer with a typed message."""
    response.status = status
    response.content_type = falcon.MEDIA_JSON
    response.data = msgspec.json.encode(body)


def write_error(
    request: falcon.Request,
    response: falcon.Response,
    error: GuavagateError,
    params: dict[str, Any],
) -> None:
    """Answer with what went wrong; an error handler for falcon."""
    detail, status = _describe(error)
    write_json(response, ErrorBody(detail), status)
    if status == falcon.http_status_to_code(falcon.HTTP_401):
        response.set_header('WWW-Authenticate', 'Bearer')


def diff_texts(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return a unified diff of two settings texts."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=''
    )
    return '\n'.join(lines)


def _describe(error: GuavagateError) -> tuple[ErrorDetail, int]:
    if isinstance(error, RefusalError):
        return _detail(error, error.reason), error.status
    if isinstance(error, SettingsConflictError):
        detail = ErrorDetail(
            code='conflict',
            message=error.problem,
            remedy=error.remedy,
            other=error.other,
            toml=error.toml,
        )
        return detail, 409
    if isinstance(error, SettingsProblemsError):
        detail = ErrorDetail(
            code='invalid_settings',
            message=error.problem,
            remedy=error.remedy,
            problems=tuple(error.problems),
        )
        return detail, 422
    return _describe_plain(error)


def _describe_plain(error: GuavagateError) -> tuple[ErrorDetail, int]:
    if isinstance(error, SettingsUnsureError):
        return _detail(error, 'unsure'), 503
    if isinstance(error, SettingsError):
        return _detail(error, 'invalid_settings'), 422
    if isinstance(error, StoreError):
        return _detail(error, 'store_unavailable'), 503
    if isinstance(error, LinkError):
        return _detail(error, 'no_answer'), 504
    return _detail(error, 'internal'), 500


def _detail(error: GuavagateError, code: str) -> ErrorDetail:
    return ErrorDetail(code=code, message=error.problem, remedy=error.remedy)
