"""Messages that instances send to the owner of a job."""

import enum

from guavagate.jobs._models import (
    PAGE_BYTES,
    ItemId,
    Job,
    JobId,
    Page,
    Result,
)
from guavagate.links import Message
from guavagate.models import InstanceId, ServiceId, TeamId


class LookupStatus(enum.Enum):
    """Whether an instance found a job."""

    FOUND = 'found'
    MISSING = 'missing'
    UNCERTAIN = 'unsure'


class ReadPage(Message, frozen=True, kw_only=True):
    """Requests results from a position on for a team; `wait` in seconds.

    Parameters
    ----------
    known, stop
        The requesting side has the results before the position `known` and
        from `stop` on (0 for none), if the job has the `identity`; they are
        left out.
    max_bytes
        Size of the texts above which the results are left out.
    """

    service: ServiceId
    job: JobId
    after: int
    wait: float
    team: TeamId = TeamId('')
    known: int = 0
    stop: int = 0
    identity: int = 0
    max_bytes: int = PAGE_BYTES


class PageReply(Message, frozen=True, kw_only=True):
    """The requested results, if the job was found.

    If its last results were left out, `end` is the position after them.
    """

    known: LookupStatus
    page: Page | None = None
    end: int = 0


class ReadResults(Message, frozen=True, kw_only=True):
    """Requests the results of a page that its owner has confirmed.

    They are those from `page.after` to `end` of the job with the identity.
    """

    owner: InstanceId
    page: ReadPage
    identity: int
    end: int


class ResultsReply(Message, frozen=True, kw_only=True):
    """All requested results, or none."""

    results: list[Result] = []


class ReadItem(Message, frozen=True, kw_only=True):
    """Requests an item's body for a team."""

    service: ServiceId
    job: JobId
    item: ItemId
    team: TeamId = TeamId('')


class ItemReply(Message, frozen=True, kw_only=True):
    """The requested body, if the item was found."""

    known: LookupStatus
    body: bytes = b''


class JobAnnounced(Message, frozen=True, kw_only=True):
    """Announces an accepted job, as the store has it."""

    job: Job


class JobEndAnnounced(Message, frozen=True, kw_only=True):
    """Announces that a job was ended; the store has the end."""

    service: ServiceId
    job: JobId


class OwnerHeartbeat(Message, frozen=True, kw_only=True):
    """Tells a successor that the owner of a service's jobs works."""

    service: ServiceId


class ProbeOwner(Message, frozen=True, kw_only=True):
    """Requests that an instance probes an owner on a new connection."""

    owner: InstanceId


class OwnerProbed(Message, frozen=True, kw_only=True):
    """Whether the owner answered."""

    reached: bool
