"""What the product asks of a model sampler."""

from collections.abc import Iterator
from typing import Protocol

import msgspec

from guavagate.models import TeamId, WeightVersion
from guavagate.ports.upstreams import Upstream


class ItemRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One item to generate, after the event number `resume_after` if any.

    `team` is that of the job, where the configuration knows teams.
    """

    id: str
    host: str
    path: str
    headers: dict[str, str]
    body: bytes
    resume_after: int = 0
    team: TeamId = TeamId('')


class TextEvent(msgspec.Struct, frozen=True):
    """One whole event of a sampler's stream."""

    number: int
    text: str
    version: WeightVersion


class ItemRun(Protocol):
    """A sampler's work on an item."""

    def events(self) -> Iterator[TextEvent]:
        """Yield whole events; ends cleanly only at the stream's whole end.

        Raises `UpstreamError` when the stream breaks.
        """

    def cancel(self) -> None:
        """Leave; the sampler drops the work. Safe from another task."""


class ItemFailedError(Exception):
    """The sampler ran the item and answered that it failed."""


class ItemImpossibleError(Exception):
    """The sampler answered that the item can never be done."""


class SamplerReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a sampler tells of itself; some 100 ms old."""

    busy: bool
    orders_taken: int
    versions: dict[str, WeightVersion]
    running: int = 0
    waiting: int = 0
    incarnation: int = 0


class VersionOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to serve a version; `generation` fences older holders."""

    model: str
    version: WeightVersion
    holder: str
    generation: int
    orders_taken: int
    keep_running: bool = True


class OrderRefusedError(Exception):
    """The sampler did not take the order; look at its state again."""


class SamplerClient(Protocol):
    """Requests to samplers; every call may raise `UpstreamError`."""

    def run(self, upstream: Upstream, item: ItemRequest, model: str) -> ItemRun:
        """Start an item and wait for the head of its stream."""

    def report(self, upstream: Upstream) -> SamplerReport:
        """Return the sampler's state."""

    def order(self, upstream: Upstream, order: VersionOrder) -> bool:
        """Order a version; return whether the sampler already had it."""
