"""Interface to model samplers."""

from collections.abc import Iterator
from typing import Final, Protocol

import msgspec

from guavagate.models import ANYWHERE, Regions, TeamId, WeightVersion
from guavagate.ports.upstreams import Upstream

# The HTTP method of an item's request.
ITEM_METHOD: Final = 'POST'


class ItemRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An item to generate; resumes after event `resume_after` unless 0.

    `team` is the job's team if the configuration defines teams, and `regions`
    those to which the job is bound.
    """

    id: str
    host: str
    path: str
    headers: dict[str, str]
    body: bytes
    resume_after: int = 0
    team: TeamId = TeamId('')
    regions: Regions = ANYWHERE


class TextEvent(msgspec.Struct, frozen=True):
    """One complete event of a sampler's stream."""

    number: int
    text: str
    version: WeightVersion


class ItemRun(Protocol):
    """An item that a sampler is generating."""

    def events(self) -> Iterator[TextEvent]:
        """Yield complete events; end normally only if the stream is complete.

        Raises `UpstreamError` if the stream breaks.
        """

    def cancel(self) -> None:
        """Disconnect, so the sampler drops the item; safe from other tasks."""


class ItemFailedError(Exception):
    """The sampler ran the item and answered that it failed."""


class ItemImpossibleError(Exception):
    """The sampler answered that the item can never succeed."""


class SamplerReport(msgspec.Struct, frozen=True, kw_only=True):
    """A sampler's report of its state; about 100 ms old."""

    busy: bool
    orders_taken: int
    versions: dict[str, WeightVersion]
    running: int = 0
    waiting: int = 0
    incarnation: int = 0


class VersionOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to serve a version; `generation` fences off older holders."""

    model: str
    version: WeightVersion
    holder: str
    generation: int
    orders_taken: int
    keep_running: bool = True


class OrderRefusedError(Exception):
    """The sampler refused the order; read its state again."""


class SamplerClient(Protocol):
    """Requests to samplers; every call may raise `UpstreamError`."""

    def run(self, upstream: Upstream, item: ItemRequest, model: str) -> ItemRun:
        """Start an item and wait for the head of its response."""

    def report(self, upstream: Upstream) -> SamplerReport:
        """Return the sampler's report."""

    def order(self, upstream: Upstream, order: VersionOrder) -> bool:
        """Order a version; return whether the sampler already had it."""

    def count_idle_connections(self, upstream: Upstream) -> int:
        """Return how many items could start without a new connection."""
