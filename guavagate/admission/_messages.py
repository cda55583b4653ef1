"""Messages between entries and the queue owner of a service."""

import enum

from guavagate.links import Message
from guavagate.models import ServiceId, TeamId, UpstreamId


class AskState(enum.Enum):
    """What the queue owner says at once about a request."""

    GRANTED = 'granted'
    QUEUED = 'queued'
    REFUSED = 'refused'


class AskAdmission(Message, frozen=True, kw_only=True):
    """Asks for permission to send a request; also asks again while it waits.

    `left` is the time until the request's deadline, in seconds.
    """

    service: ServiceId
    id: str
    team: TeamId
    priority: int
    left: float
    objective: float


class AdmissionReply(Message, frozen=True, kw_only=True):
    """The reply, at once; a verdict follows if the request is queued.

    A granted request goes to `upstream` first. `contended` means that further
    requests have to wait.
    """

    state: AskState
    upstream: UpstreamId | None = None
    retry_after: float = 0
    reason: str = ''
    contended: bool = False


class AdmissionVerdict(Message, frozen=True, kw_only=True):
    """The verdict on a request that was queued."""

    service: ServiceId
    id: str
    granted: bool
    upstream: UpstreamId | None = None
    retry_after: float = 0
    reason: str = ''


class ReleaseAdmission(Message, frozen=True, kw_only=True):
    """Ends a grant, or withdraws a request that waits.

    `refused` means that all upstreams refused it as full.
    """

    service: ServiceId
    id: str
    refused: bool = False
