"""Writes JSON responses and errors of the operators' API."""

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
    """Why a request failed, and what the operator can do.

    Parameters
    ----------
    other
        The accepted change that a request conflicts with.
    toml
        The settings text that this change put in force.
    """

    code: str
    message: str
    remedy: str
    problems: tuple[Problem, ...] = ()
    other: Change | None = None
    toml: str = ''


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of an error response."""

    error: ErrorDetail


def write_json(response: falcon.Response, body: Any, status: int = 200) -> None:
    """Respond with a struct encoded as JSON."""
    response.status = status
    response.content_type = falcon.MEDIA_JSON
    response.data = msgspec.json.encode(body)


def write_error(
    request: falcon.Request,
    response: falcon.Response,
    error: GuavagateError,
    params: dict[str, Any],
) -> None:
    """Respond with an error, in the form of a falcon error handler."""
    detail, status = _convert_error(error)
    write_json(response, ErrorBody(detail), status)
    if status == falcon.http_status_to_code(falcon.HTTP_401):
        response.set_header('WWW-Authenticate', 'Bearer')


def diff_texts(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return the unified diff of two settings texts."""
    lines = difflib.unified_diff(
        old.splitlines(), new.splitlines(), old_name, new_name, lineterm=''
    )
    return '\n'.join(lines)


def _convert_error(error: GuavagateError) -> tuple[ErrorDetail, int]:
    if isinstance(error, RefusalError):
        return _make_detail(error, error.reason), error.status
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
    return _convert_plain_error(error)


def _convert_plain_error(error: GuavagateError) -> tuple[ErrorDetail, int]:
    if isinstance(error, SettingsUnsureError):
        return _make_detail(error, 'unsure'), 503
    if isinstance(error, SettingsError):
        return _make_detail(error, 'invalid_settings'), 422
    if isinstance(error, StoreError):
        return _make_detail(error, 'store_unavailable'), 503
    if isinstance(error, LinkError):
        return _make_detail(error, 'no_answer'), 504
    return _make_detail(error, 'internal'), 500


def _make_detail(error: GuavagateError, code: str) -> ErrorDetail:
    return ErrorDetail(code=code, message=error.problem, remedy=error.remedy)
