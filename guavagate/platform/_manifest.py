"""Decodes the operators' manifest into a configuration."""

from typing import Final

import msgspec

from guavagate.auth import hash_token
from guavagate.helpers.decoding import decode_json
from guavagate.http1 import ServerLimits
from guavagate.models import ServiceId, TeamId, ZoneId
from guavagate.platform.const import MILLIS
from guavagate.ports.configuration import (
    Configuration,
    Route,
    RouteKind,
    Scaling,
    Service,
    ServiceShare,
    Team,
    Warmup,
)
from guavagate.residency import read_regions

_KINDS: Final = {
    'idempotent': RouteKind.IDEMPOTENT,
    'non_idempotent': RouteKind.NON_IDEMPOTENT,
    'streaming': RouteKind.STREAM,
    'rollout': RouteKind.JOB,
}


class _Table(msgspec.Struct, frozen=True, kw_only=True, rename='kebab'):
    """Base of the manifest's objects, whose field names have hyphens."""


class _Backend(_Table, frozen=True, kw_only=True):
    service: str
    weight: int = 1


class _Route(_Table, frozen=True, kw_only=True):
    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 1000
    priority: int = 0
    service: str = ''
    backends: list[_Backend] = []
    max_attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    item_ttl_s: float = 60
    target_run_ms: float = 60_000
    no_auth: bool = False
    allowed_regions: list[str] | None = None


class _Model(_Table, frozen=True, kw_only=True):
    name: str


class _Engine(_Table, frozen=True, kw_only=True):
    slots: int = 0
    kv_capacity: int = 0
    models: list[_Model] = []


class _Scaling(_Table, frozen=True, kw_only=True):
    min: int = 0
    max: int = 0
    boot_s: float = 0
    spot_price: float = 1
    zone_prices: dict[str, float] = {}


class _Service(_Table, frozen=True, kw_only=True):
    name: str
    health_path: str = ''
    max_conns: int = 100
    engine: _Engine = _Engine()
    scaling: _Scaling | None = None
    cold_per_s: float = 0
    cold_start_s: float = 0


class _Limits(_Table, frozen=True, kw_only=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(_Table, frozen=True, kw_only=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] | None = None


class _Manifest(_Table, frozen=True, kw_only=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


def decode_manifest(value: bytes) -> Configuration:
    """Return a manifest as a configuration; raises `msgspec.MsgspecError`."""
    manifest = decode_json(value, _Manifest)
    limits = manifest.limits
    return Configuration(
        version=manifest.version,
        routes=tuple(_to_route(each) for each in manifest.routes),
        services=tuple(_to_service(each) for each in manifest.services),
        limits=ServerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout=limits.header_timeout_ms / MILLIS,
            idle_timeout=limits.idle_timeout_ms / MILLIS,
        ),
        teams=tuple(_to_team(each) for each in manifest.tenants),
    )


def _to_route(route: _Route) -> Route:
    backends = route.backends or [_Backend(service=route.service)]
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        # An unknown kind is treated as the strictest one.
        kind=_KINDS.get(route.route_type, RouteKind.NON_IDEMPOTENT),
        shares=tuple(
            ServiceShare(ServiceId(each.service), each.weight)
            for each in backends
        ),
        timeout=route.timeout_ms / MILLIS,
        objective=route.target_latency_ms / MILLIS,
        priority=route.priority,
        max_attempts=route.max_attempts,
        resumable=route.resumable,
        single_version=route.single_version,
        item_ttl=route.item_ttl_s,
        job_objective=route.target_run_ms / MILLIS,
        open=route.no_auth,
        regions=read_regions(route.allowed_regions),
    )


def _to_service(service: _Service) -> Service:
    engine = service.engine
    return Service(
        id=ServiceId(service.name),
        health_path=service.health_path,
        max_connections=service.max_conns,
        slots=engine.slots,
        cache_tokens=engine.kv_capacity,
        models=tuple(each.name for each in engine.models),
        scaling=None if service.scaling is None else _to_scaling(service),
        warmup=Warmup(
            per_second=service.cold_per_s, start_seconds=service.cold_start_s
        )
        if service.cold_per_s > 0
        else None,
    )


def _to_scaling(service: _Service) -> Scaling:
    assert service.scaling is not None
    wire = service.scaling
    return Scaling(
        min_upstreams=wire.min,
        max_upstreams=wire.max,
        boot_seconds=wire.boot_s,
        spot_price=wire.spot_price,
        zone_prices={ZoneId(zone): p for zone, p in wire.zone_prices.items()},
    )


def _to_team(tenant: _Tenant) -> Team:
    return Team(
        id=TeamId(tenant.name),
        key_hashes=tuple(hash_token(each) for each in tenant.api_keys),
        priority=tenant.priority,
        regions=read_regions(tenant.allowed_regions),
    )
