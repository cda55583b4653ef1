"""What the parts of an instance need of the platform's protocol."""

from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from guavagate.clock import Clock
from guavagate.followed_objects import ObjectDecoder
from guavagate.front import (
    BodyReader,
    JobHandler,
    KeyAuthenticator,
    RequestHandler,
)
from guavagate.http1 import ConnectionPool, HttpServer
from guavagate.integrations.object_api import RetryingClient
from guavagate.jobs import Page
from guavagate.ports.dialect import UpstreamDialect
from guavagate.ports.duties import DutyClient
from guavagate.ports.sampler import SamplerClient
from guavagate.ports.store import ObjectStore
from guavagate.routing import RouteTable


class StatusStore(ObjectStore, Protocol):
    """A store whose objects have a status beside their value."""

    def put_status(self, path: str, value: dict[str, Any]) -> None:
        """Replace an object's status."""


class ObjectPaths(msgspec.Struct, frozen=True, kw_only=True):
    """Prefixes of the store's objects; `probe` is the path of a cheap call."""

    configuration: str
    upstreams: str
    versions: str
    retirements: str
    evacuations: str
    probe: str


class EdgeHandlers(msgspec.Struct, frozen=True, kw_only=True):
    """What handles the calls of callers and trainers once they are decoded."""

    clock: Clock
    routes: RouteTable
    authenticator: KeyAuthenticator
    requests: RequestHandler
    jobs: JobHandler
    bodies: BodyReader


class PlatformAdapter(msgspec.Struct, frozen=True, kw_only=True):
    """Decoders, encoders and clients of one platform's protocol.

    Attributes
    ----------
    make_edge
        Returns a server for callers at an address, not yet started.
    retired
        Status of an instance that was retired and has handed over its work.
    """

    paths: ObjectPaths
    decoder: ObjectDecoder
    dialect: UpstreamDialect
    encode_page: Callable[[Page], bytes]
    metrics_path: str
    retired: dict[str, Any]
    make_store: Callable[[RetryingClient], StatusStore]
    make_samplers: Callable[[ConnectionPool], SamplerClient]
    make_duties: Callable[[ConnectionPool], DutyClient]
    make_edge: Callable[[EdgeHandlers, str], HttpServer]
