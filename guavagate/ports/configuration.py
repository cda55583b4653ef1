"""The operator's configuration of routes, services and teams."""

import enum

import msgspec

from guavagate.http1 import ServerLimits
from guavagate.models import ANYWHERE, Regions, ServiceId, TeamId, ZoneId


class RouteKind(enum.Enum):
    """Kinds of routes, which decide whether requests may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'
    JOB = 'job'


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and the weight of its share of a route's requests."""

    service: ServiceId
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A route for one host and path prefix; times in seconds.

    Callers of an `open` route need no key. Requests are bound to `regions`.
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
    regions: Regions = ANYWHERE


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A team and the hashes of its callers' valid keys.

    Its requests are bound to `regions`.
    """

    id: TeamId
    key_hashes: tuple[str, ...] = ()
    priority: int | None = None
    regions: Regions = ANYWHERE


class Scaling(msgspec.Struct, frozen=True, kw_only=True):
    """How many upstreams of a service may be ordered in each zone.

    Attributes
    ----------
    min_upstreams, max_upstreams
        Bounds for regular and spot upstreams together, in one zone.
    boot_seconds
        Seconds until a new upstream serves requests.
    spot_price
        Price of a spot upstream as a share of a regular one's.
    zone_prices
        Price of an upstream per second, by zone.
    """

    min_upstreams: int = 0
    max_upstreams: int = 0
    boot_seconds: float = 0
    spot_price: float = 1
    zone_prices: dict[ZoneId, float] = {}


class Warmup(msgspec.Struct, frozen=True, kw_only=True):
    """How an upstream has to be treated after it has started.

    Attributes
    ----------
    per_second
        Requests per second that it takes while it is cold.
    start_seconds
        How long it is cold after a start.
    """

    per_second: float
    start_seconds: float


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service behind routes; `models` are those of its samplers."""

    id: ServiceId
    health_path: str = ''
    max_connections: int = 100
    slots: int = 0
    cache_tokens: int = 0
    models: tuple[str, ...] = ()
    scaling: Scaling | None = None
    warmup: Warmup | None = None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted version of the complete configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: ServerLimits = ServerLimits()
