"""Messages that instances send to the owner of a job."""

import enum

from guavagate.jobs._models import ItemId, Job, JobId, Page
from guavagate.links import Message
from guavagate.models import InstanceId, ServiceId, TeamId


class LookupStatus(enum.Enum):
    """Whether an instance found a job."""

    FOUND = 'found'
    MISSING = 'missing'
    UNCERTAIN = 'unsure'


class ReadPage(Message, frozen=True, kw_only=True):
    """Requests results from a position on for a team; `wait` in seconds."""

    service: ServiceId
    job: JobId
    after: int
    wait: float
    team: TeamId = TeamId('')


class PageReply(Message, frozen=True, kw_only=True):
    """The requested results, if the job was found."""

    known: LookupStatus
    page: Page | None = None


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
