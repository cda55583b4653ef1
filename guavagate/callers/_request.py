"""Identity, id and deadline of a caller's request."""

import uuid
from typing import Final

import falcon
import msgspec

from guavagate.auth import Authenticator, Identity
from guavagate.clock import Clock
from guavagate.const import HEADER_DEADLINE, HEADER_REQUEST_ID
from guavagate.exceptions import RefusalError
from guavagate.helpers.numbers import parse_whole_number
from guavagate.metrics import ENV_TEAM
from guavagate.models import RequestId
from guavagate.settings import CallerSettings, TeamSettings

DEFAULT_DEADLINE_SECONDS: Final = 60.0
MAX_DEADLINE_SECONDS: Final = 3600.0
MAX_REQUEST_ID_LENGTH: Final = 128
_MILLIS: Final = 1000


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An authenticated request; `deadline` is a time of the clock."""

    id: RequestId
    identity: Identity
    deadline: float


def open_request(
    request: falcon.Request,
    authenticator: Authenticator,
    clock: Clock,
) -> CallerRequest:
    """Authenticate a request and assign its id and deadline.

    Raises
    ------
    RefusalError
        The token is unknown, or a header is malformed.
    """
    identity = authenticator.identify(request.get_header('Authorization'))
    request.env[ENV_TEAM] = identity.team
    return CallerRequest(
        id=_read_id(request),
        identity=identity,
        deadline=clock.now() + _read_deadline(request),
    )


def find_caller(
    team: TeamSettings,
    identity: Identity,
) -> CallerSettings | None:
    """Return the settings of the caller, if it is still declared."""
    for caller in team.callers:
        if caller.id == identity.caller:
            return caller
    return None


def _read_id(request: falcon.Request) -> RequestId:
    # The id that the caller sent is kept for its logs, but made unique: two
    # requests with the same id would share a permit and get mixed answers.
    sent_id = (request.get_header(HEADER_REQUEST_ID) or '')[
        :MAX_REQUEST_ID_LENGTH
    ]
    unique = uuid.uuid4().hex
    return RequestId(f'{sent_id}-{unique}' if sent_id else f'req-{unique}')


def _read_deadline(request: falcon.Request) -> float:
    text = request.get_header(HEADER_DEADLINE)
    if text is None:
        return DEFAULT_DEADLINE_SECONDS
    seconds = (parse_whole_number(text) or 0) / _MILLIS
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        raise _make_deadline_refusal(text)
    return seconds


def _make_deadline_refusal(text: str) -> RefusalError:
    return RefusalError(
        f'{HEADER_DEADLINE}: {text!r} is no usable deadline',
        'give whole milliseconds from 1 to 3600000',
        reason='bad_deadline',
        status=400,
    )
