"""Checks samplers right before anything is sent to them."""

from guavagate.ports.sampler import (
    ItemRequest,
    ItemRun,
    SamplerClient,
    SamplerReport,
    VersionOrder,
)
from guavagate.ports.upstreams import Upstream
from guavagate.routing._upstreams import UpstreamTable


class EligibleSamplers:
    """A `SamplerClient` that sends nothing to a sampler with an obstacle.

    An item that was placed just before its sampler's zone was evacuated is
    refused here as not started, and goes elsewhere.
    """

    def __init__(self, client: SamplerClient, upstreams: UpstreamTable) -> None:
        self._client = client
        self._upstreams = upstreams

    def run(self, upstream: Upstream, item: ItemRequest, model: str) -> ItemRun:
        """Start an item and wait for the head of its response."""
        self._upstreams.check(upstream, item.regions, starts=True)
        return self._client.run(upstream, item, model)

    def report(self, upstream: Upstream) -> SamplerReport:
        """Return the sampler's report."""
        self._upstreams.check(upstream)
        return self._client.report(upstream)

    def order(self, upstream: Upstream, order: VersionOrder) -> bool:
        """Order a version; return whether the sampler already had it."""
        self._upstreams.check(upstream)
        return self._client.order(upstream, order)

    def count_idle_connections(self, upstream: Upstream) -> int:
        """Return how many items could start without a new connection."""
        return self._client.count_idle_connections(upstream)
