"""What instances ask the owner of a job."""

import enum

from guavagate.jobs._models import ItemId, JobId, Page
from guavagate.links import Message
from guavagate.models import ServiceId, TeamId


class LookupStatus(enum.Enum):
    """What an instance can say of a job."""

    FOUND = 'found'
    MISSING = 'missing'
    UNCERTAIN = 'unsure'


class ReadPage(Message, frozen=True, kw_only=True):
    """Asks, for a team, for results from a position on; `wait` in seconds."""

    service: ServiceId
    job: JobId
    after: int
    wait: float
    team: TeamId = TeamId('')


class PageReply(Message, frozen=True, kw_only=True):
    """Results, where the job was found."""

    known: LookupStatus
    page: Page | None = None


class ReadItem(Message, frozen=True, kw_only=True):
    """Asks, for a team, for an item's body."""

    service: ServiceId
    job: JobId
    item: ItemId
    team: TeamId = TeamId('')


class ItemReply(Message, frozen=True, kw_only=True):
    """The body, where the item was found."""

    known: LookupStatus
    body: bytes = b''
