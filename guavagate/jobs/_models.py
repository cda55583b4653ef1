"""Jobs, their results, and their paths in the store."""

import enum
from typing import Final, NewType

import msgspec
import xxhash

from guavagate.models import (
    ANYWHERE,
    Regions,
    ServiceId,
    TeamId,
    WeightVersion,
)
from guavagate.ports.rewards import RewardRequest
from guavagate.ports.sampler import ITEM_METHOD
from guavagate.quarantine import RequestContent

JobId = NewType('JobId', str)
ItemId = NewType('ItemId', str)
GroupId = NewType('GroupId', str)

# Limit of the texts in one page.
PAGE_BYTES: Final = 900_000
JOBS_PREFIX: Final = 'jobs'
ENDS_PREFIX: Final = 'job-ends'
SERVICES_PREFIX: Final = 'job-services'
_RESULTS_PREFIX: Final = 'job-results'


class ResultState(enum.Enum):
    """The outcome of an item."""

    COMPLETED = 'completed'
    ERRORED = 'errored'


class PromptPrefix(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt that other items with the same id of it share."""

    id: str
    tokens: int


class JobItem(msgspec.Struct, frozen=True, kw_only=True):
    """One item: a request to run, and the group that it belongs to.

    `prompt_tokens` and `max_output_tokens` are 0 if the trainer sent none, and
    in records of earlier releases; `prompt_prefixes` are parts of the prompt.
    `reward` is sent once the text is complete; the signature in the answer
    becomes the signature of the result.
    """

    id: ItemId
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int = 0
    expected_tokens: int = 0
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_prefixes: tuple[PromptPrefix, ...] = ()
    group: GroupId
    reward: RewardRequest | None = None


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a trainer; times in seconds, `submitted_at` in Unix time.

    `fingerprint` identifies the content that the trainer sent, to distinguish a
    repeated submission from a different job under the same id. `team` is empty
    if the configuration had no teams, or in records of a release without teams.
    Any caller may access such jobs, as their team is unknown. `path` is one of
    its route, empty in records of earlier releases, and `regions` are those to
    which it was bound when it was accepted.
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
    path: str = ''
    regions: Regions = ANYWHERE

    @property
    def route_path(self) -> str:
        """Return a path that the job's route matches."""
        if self.path or not self.items:
            return self.path
        return self.items[0].path

    def list_rewards(self) -> list[RewardRequest]:
        """Return the reward requests of the items."""
        return [each.reward for each in self.items if each.reward is not None]

    def is_accessible_to(self, team: TeamId) -> bool:
        """Return whether a team's callers may read and end the job."""
        return not self.team or self.team == team

    def identify(self) -> int:
        """Return a number that differs for a later job under the same id.

        An id is free again once its job was removed from the store.
        """
        text = f'{self.id}\0{self.fingerprint}\0{self.submitted_at}'
        return xxhash.xxh64_intdigest(text.encode())

    def describe(self, item: JobItem) -> RequestContent:
        """Return what an item's request is, whatever its id."""
        return RequestContent(
            team=self.team,
            method=ITEM_METHOD,
            host=self.host,
            target=item.path,
            body=item.body,
        )


class Result(msgspec.Struct, frozen=True):
    """The committed result of an item.

    `versions` are the weight versions that generated its text; `signature` is
    the answer to its reward request, if the item has one.
    """

    id: ItemId
    state: ResultState
    text: str
    versions: list[WeightVersion]
    signature: str = ''


class Chunk(msgspec.Struct, frozen=True):
    """Results committed by one write; its number acts as a fence.

    If two instances both believe they own a job, only one of them creates the
    chunk with the next number. The other finds it there, and drops its own
    results of those items.
    """

    writer: str
    results: list[Result]


class Page(msgspec.Struct, frozen=True):
    """Results from a position on, and the position to read next.

    `identity` is that of the job; 0 if it is unknown.
    """

    total: int
    next: int
    results: list[Result]
    identity: int = 0


def job_path(job: JobId) -> str:
    """Return the path of a job."""
    return f'{JOBS_PREFIX}/{job}'


def part_path(job: JobId, number: int) -> str:
    """Return the path of a part of a large job's items."""
    return f'job-parts-{job}/{number:06}'


def service_path(service: ServiceId) -> str:
    """Return the path of the marker that a service has had jobs."""
    return f'{SERVICES_PREFIX}/{service}'


def end_path(job: JobId) -> str:
    """Return the path of the marker that a job was ended."""
    return f'{ENDS_PREFIX}/{job}'


def texts_path(job: JobId) -> str:
    """Return the path of a job's saved partial texts."""
    return f'job-texts/{job}'


def results_prefix(job: JobId) -> str:
    """Return the path prefix of a job's results."""
    return f'{_RESULTS_PREFIX}-{job}'


def get_chunk_name(number: int) -> str:
    """Return the name of a chunk; names are in the order of the numbers."""
    return f'{number:06}'


def chunk_path(job: JobId, number: int) -> str:
    """Return the path of a chunk of results."""
    return f'{results_prefix(job)}/{get_chunk_name(number)}'


def make_page(
    results: list[Result],
    total: int,
    after: int,
    max_bytes: int,
    identity: int = 0,
) -> Page:
    """Return the results from a position on, limited to a size in bytes.

    Contains at least one result if there is one, so that a reader always makes
    progress.
    """
    size = 0
    page: list[Result] = []
    for result in results[after:]:
        size += len(result.text)
        if page and size > max_bytes:
            break
        page.append(result)
    return Page(total, after + len(page), page, identity)
