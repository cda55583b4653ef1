"""Messages between entries and the holder of a service's start budget."""

from guavagate.links import Message
from guavagate.models import ServiceId, UpstreamId


class AskWarmup(Message, frozen=True, kw_only=True):
    """Asks for one start at one of some upstreams, the preferred ones first.

    `warm_only` excludes those that are cold.
    """

    service: ServiceId
    upstreams: tuple[UpstreamId, ...]
    warm_only: bool = False


class WarmupReply(Message, frozen=True, kw_only=True):
    """The upstream that may get the request, if any.

    `retry_after` is when a refused caller should return, in seconds. `holder`
    is false if the instance does not consider itself the holder.
    """

    granted: UpstreamId | None = None
    retry_after: float = 0
    holder: bool = True
