"""The interface of a limit on how often requests may start at an upstream."""

from typing import Protocol

from guavagate.models import ANYWHERE, Regions, ServiceId, UpstreamId
from guavagate.ports.upstreams import Upstream


class StartGate(Protocol):
    """Permits the starts at the upstreams of some services."""

    def applies(self, service: ServiceId) -> bool:
        """Return whether starts at a service's upstreams need a permit."""

    def choose(
        self,
        service: ServiceId,
        tried: set[UpstreamId],
        *,
        lasting: bool,
        preferred: UpstreamId | None,
        regions: Regions,
        hedge: bool,
    ) -> Upstream | None:
        """Return the upstream that one more request may start at now.

        Parameters
        ----------
        hedge
            Whether the request already runs elsewhere, so that it may wait.
        """

    def may_send(self, upstream: Upstream) -> bool:
        """Return whether a request may be sent now; use up a permit."""

    def find_retry_after(self, service: ServiceId) -> float | None:
        """Return when to retry if this gate has just refused a request."""


class OpenGate:
    """Permits everything: no service has a limit."""

    def applies(self, service: ServiceId) -> bool:
        """Return whether starts at a service's upstreams need a permit."""
        return False

    def choose(
        self,
        service: ServiceId,
        tried: set[UpstreamId],
        *,
        lasting: bool = False,
        preferred: UpstreamId | None = None,
        regions: Regions = ANYWHERE,
        hedge: bool = False,
    ) -> Upstream | None:
        """Raise an error: there is no limit to choose by."""
        raise NotImplementedError

    def may_send(self, upstream: Upstream) -> bool:
        """Permit each request."""
        return True

    def find_retry_after(self, service: ServiceId) -> float | None:
        """Return `None`, as it refuses nothing."""
        nothing: float | None = None
        return nothing
