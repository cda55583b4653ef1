"""What a job is, and what is kept of it in the store."""

import enum
from typing import Final, NewType

import msgspec

from guavagate.models import ServiceId, TeamId, WeightVersion
from guavagate.ports.rewards import RewardRequest

JobId = NewType('JobId', str)
ItemId = NewType('ItemId', str)
GroupId = NewType('GroupId', str)

JOBS: Final = 'jobs'
ENDS: Final = 'job-ends'
_RESULTS: Final = 'job-results'


class ResultState(enum.Enum):
    """How an item ended."""

    COMPLETED = 'completed'
    ERRORED = 'errored'


class JobItem(msgspec.Struct, frozen=True, kw_only=True):
    """One item: a request to run, and the group that it completes.

    `reward` is sent once the text is whole; its signature is the result's.
    """

    id: ItemId
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    expected_tokens: int = 0
    group: GroupId
    reward: RewardRequest | None = None


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a trainer; times in seconds, `submitted_at` since 1970.

    `fingerprint` stands for the content as the trainer sent it, so that a
    repeated submission is told from another one under the same id. `team` is
    empty where the configuration knew none, as in records of a release that
    knew none: these are any caller's, since nobody can be told to be theirs.
    """

    id: JobId
    host: str
    service: ServiceId
    model: str
    step: int
    min_version: WeightVersion
    target_groups: int
    submitted_at: float
    fingerprint: str
    max_attempts: int
    item_ttl: float
    objective: float
    single_version: bool = False
    items: list[JobItem] = []
    parts: int = 0
    team: TeamId = TeamId('')

    def is_accessible_to(self, team: TeamId) -> bool:
        """Return whether a team's callers may see and end the job."""
        return not self.team or self.team == team


class Result(msgspec.Struct, frozen=True):
    """What is listed of an item; `versions` are those that made its text.

    `signature` is that of its reward request, where the item names one.
    """

    id: ItemId
    state: ResultState
    text: str
    versions: list[WeightVersion]
    signature: str = ''


class Chunk(msgspec.Struct, frozen=True):
    """Results listed by one write; its number is the fence.

    Of two instances that both believe that they own a job, one creates the
    next number; the other meets it, and drops its own results of those items.
    """

    writer: str
    results: list[Result]


class Page(msgspec.Struct, frozen=True):
    """Results from a position on."""

    total: int
    next: int
    results: list[Result]


def job_path(job: JobId) -> str:
    """Return where a job is kept."""
    return f'{JOBS}/{job}'


def part_path(job: JobId, number: int) -> str:
    """Return where a part of a large job's items is kept."""
    return f'job-parts-{job}/{number:06}'


def end_path(job: JobId) -> str:
    """Return where it is kept that a job was ended."""
    return f'{ENDS}/{job}'


def results_prefix(job: JobId) -> str:
    """Return under what a job's results are kept."""
    return f'{_RESULTS}-{job}'


def chunk_path(job: JobId, number: int) -> str:
    """Return where a chunk of results is kept."""
    return f'{results_prefix(job)}/{number:06}'


def cut_page(results: list[Result], total: int, after: int, limit: int) -> Page:
    """Return results from a position on, within a size in bytes.

    At least one if there is one, so that a reader always gets on.
    """
    size = 0
    page: list[Result] = []
    for result in results[after:]:
        size += len(result.text)
        if page and size > limit:
            break
        page.append(result)
    return Page(total, after + len(page), page)
