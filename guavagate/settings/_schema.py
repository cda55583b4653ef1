"""The typed form of all settings."""

import msgspec

from guavagate.models import (
    CallerId,
    DeploymentId,
    InstanceId,
    RegionId,
    SamplerId,
    ServiceId,
    TeamId,
    UpstreamId,
    ZoneId,
)


class _Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base: keyword-only, unchangeable, unknown keys refused."""


class PlatformSettings(_Settings, frozen=True, kw_only=True):
    """Where the platform's object API and instance list are."""

    object_api: str
    credentials_file: str = ''


class PeerSettings(_Settings, frozen=True, kw_only=True):
    """A peer known at start, before the instance list has been read."""

    id: InstanceId
    availability_zone: ZoneId
    region: RegionId
    peer_address: str
    http_address: str


class InstanceSettings(_Settings, frozen=True, kw_only=True):
    """One instance's own TOML file; addresses are ``host:port``."""

    id: InstanceId
    availability_zone: ZoneId
    region: RegionId
    http_address: str
    peer_address: str
    platform: PlatformSettings
    peers: tuple[PeerSettings, ...] = ()
    data_folder: str = ''
    log_format: str = 'human'
    stop_limit: str = '30s'


class SamplerSettings(_Settings, frozen=True, kw_only=True):
    """One sampler: a model engine of a deployment."""

    id: SamplerId
    address: str
    availability_zone: ZoneId
    slots: int = 8


class DeploymentWeights(_Settings, frozen=True, kw_only=True):
    """What the deployment weighs: staleness against trainer idle time."""

    staleness: float = 1.0
    idle: float = 1.0


class DeploymentSettings(_Settings, frozen=True, kw_only=True):
    """A model deployment: samplers, and the bounds for their samples."""

    id: DeploymentId
    samplers: tuple[SamplerSettings, ...]
    max_staleness: int = 2
    weights: DeploymentWeights = DeploymentWeights()
    token_timeout: str = '5s'
    scoring_service: str = ''
    fences_orders: bool = True


class UpstreamSettings(_Settings, frozen=True, kw_only=True):
    """One upstream of a plain service."""

    id: UpstreamId
    address: str
    availability_zone: ZoneId


class ServiceSettings(_Settings, frozen=True, kw_only=True):
    """A plain service; `idempotent` lists the methods that may be repeated."""

    id: ServiceId
    upstreams: tuple[UpstreamSettings, ...]
    idempotent: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
    timeout: str = '10s'
    concurrency: int = 16


class CallerSettings(_Settings, frozen=True, kw_only=True):
    """One declared caller; the token is stored as a hash."""

    id: CallerId
    token_hash: str
    role: str = 'caller'
    weight: float = 1.0


class TeamSettings(_Settings, frozen=True, kw_only=True):
    """All that one team declares: one object in the store."""

    team: TeamId
    weight: float = 1.0
    callers: tuple[CallerSettings, ...] = ()
    deployments: tuple[DeploymentSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()
