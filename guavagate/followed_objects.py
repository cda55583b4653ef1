"""Applies the objects that all instances follow to an instance's parts."""

from collections.abc import Callable

import msgspec

from guavagate.feeds import Feed
from guavagate.models import UpstreamId, WeightVersion
from guavagate.ports.configuration import Configuration
from guavagate.ports.store import StoredObject
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine import STOPPED_REQUESTS, Quarantine
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.service import JobServices


class ObjectDecoder(msgspec.Struct, frozen=True, kw_only=True):
    """Decodes objects of the store; raises `ValueError` for invalid ones.

    Attributes
    ----------
    configuration_path
        The object that holds the configuration; others beside it are ignored.
    """

    configuration_path: str
    decode_configuration: Callable[[bytes], Configuration]
    decode_upstream: Callable[[str, bytes], Upstream]
    decode_version: Callable[[bytes], tuple[str, WeightVersion]]


class FollowedObjects:
    """Passes each change to the routes, upstreams, services or quarantine."""

    def __init__(
        self,
        routes: RouteTable,
        upstreams: UpstreamTable,
        services: JobServices,
        feed: Feed,
        decoder: ObjectDecoder,
    ) -> None:
        self._routes = routes
        self._upstreams = upstreams
        self._services = services
        self._feed = feed
        self._decoder = decoder

    def register(self, upstreams_prefix: str, quarantine: Quarantine) -> None:
        """Register a handler for each kind of object."""
        configurations = self._decoder.configuration_path.partition('/')[0]
        feed = self._feed
        feed.register_handlers(configurations, self._put_configuration, None)
        feed.register_handlers(
            upstreams_prefix, self._put_upstream, self._remove_upstream
        )
        feed.register_handlers(
            STOPPED_REQUESTS, quarantine.put, quarantine.remove
        )

    def put_version(self, _: str, stored: StoredObject) -> None:
        """Record a version that a trainer has published."""
        model, version = self._decoder.decode_version(stored.value)
        self._services.record_published_version(model, version)

    def _put_configuration(self, stored: StoredObject) -> None:
        if stored.path != self._decoder.configuration_path:
            return
        # If decoding fails, the older configuration stays in force, unproven.
        self._feed.proof.invalidate()
        self._routes.apply(self._decoder.decode_configuration(stored.value))
        self._feed.proof.restore()
        self._services.refresh()

    def _put_upstream(self, stored: StoredObject) -> None:
        name = stored.path.partition('/')[2]
        self._upstreams.put(self._decoder.decode_upstream(name, stored.value))

    def _remove_upstream(self, name: str) -> None:
        self._upstreams.remove(UpstreamId(name))
