"""What instances tell each other about requests and ended upstreams."""

import msgspec

from guavagate.links import Message
from guavagate.models import UpstreamId
from guavagate.quarantine._identity import RequestIdentity
from guavagate.quarantine._records import StoppedRequest


class SuspectRun(msgspec.Struct, frozen=True, kw_only=True):
    """A request that an upstream had run for some seconds when it ended."""

    identity: RequestIdentity
    seconds: float


class UpstreamEnd(msgspec.Struct, frozen=True, kw_only=True):
    """The end of an upstream, and the requests of one instance there.

    Attributes
    ----------
    report
        Differs in each report, so that its copies are recognized; empty from
        instances of a release that does not send it.
    """

    report: str = ''
    upstream: UpstreamId
    incarnation: int
    runs: tuple[SuspectRun, ...]


class Findings(Message, frozen=True, kw_only=True):
    """What one instance found, or what a hub passes on to all.

    Attributes
    ----------
    answers
        Requests that were answered after upstreams had ended under them.
    relayed
        Whether a hub passes this on; otherwise the receiver is to do so.
    """

    ends: tuple[UpstreamEnd, ...] = ()
    answers: tuple[RequestIdentity, ...] = ()
    stops: tuple[StoppedRequest, ...] = ()
    relayed: bool = False
