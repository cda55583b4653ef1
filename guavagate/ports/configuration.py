"""The operator's configuration of routes as the product sees it."""

import enum

import msgspec

from guavagate.http1 import ServerLimits
from guavagate.models import ServiceId, TeamId, ZoneId


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'
    JOB = 'job'


class ServiceShare(msgspec.Struct, frozen=True):
    """A service that gets a share of a route's requests."""

    service: ServiceId
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host and path prefix; times in seconds.

    `open` is a route whose callers need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    objective: float
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    item_ttl: float = 60.0
    job_objective: float = 60.0
    open: bool = False


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A team, and the hashes of the keys that its callers may show."""

    id: TeamId
    key_hashes: tuple[str, ...] = ()
    priority: int | None = None


class Scaling(msgspec.Struct, frozen=True, kw_only=True):
    """How many upstreams of a service may be ordered in each zone.

    Attributes
    ----------
    least, most
        Bounds of both kinds together, in one zone.
    boot
        Seconds until a new upstream serves.
    spot_price
        What one that may be reclaimed costs, as a share of a regular one.
    zone_prices
        What a second of an upstream costs by zone.
    """

    min_upstreams: int = 0
    max_upstreams: int = 0
    boot_seconds: float = 0
    spot_price: float = 1
    zone_prices: dict[ZoneId, float] = {}


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service behind routes; `models` are what its samplers hold."""

    id: ServiceId
    health_path: str = ''
    max_connections: int = 100
    slots: int = 0
    cache_tokens: int = 0
    models: tuple[str, ...] = ()
    scaling: Scaling | None = None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted version of the whole configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: ServerLimits = ServerLimits()
