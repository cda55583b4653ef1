"""The schema of all settings."""

import enum
from typing import Annotated, Literal

import msgspec

from guavagate.models import (
    CallerId,
    DeploymentId,
    InstanceId,
    RegionId,
    RunId,
    SamplerId,
    ServiceId,
    TeamId,
    UpstreamId,
    ZoneId,
)
from guavagate.settings._value_kinds import ValueKind, describe


class Role(enum.StrEnum):
    """What the owner of a token may do within its team."""

    CALLER = 'caller'
    TRAINER = 'trainer'
    OPERATOR = 'operator'


class _Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class: keyword-only, immutable, without unknown keys."""


class PlatformSettings(_Settings, frozen=True, kw_only=True):
    """Access to the platform's object API and instance list."""

    object_api: Annotated[
        str, describe('Base URL of the object API', ValueKind.URL)
    ]
    credentials_file: Annotated[
        str, describe('File that holds the platform credential')
    ] = ''


class PeerSettings(_Settings, frozen=True, kw_only=True):
    """A peer that is known before the instance list has been read."""

    id: Annotated[InstanceId, describe('Id of the instance', ValueKind.ID)]
    availability_zone: Annotated[
        ZoneId, describe('Availability zone it runs in', ValueKind.ID)
    ]
    region: Annotated[RegionId, describe('Region it runs in', ValueKind.ID)]
    peer_address: Annotated[
        str, describe('Where other instances reach it', ValueKind.IP_ADDRESS)
    ]
    http_address: Annotated[
        str, describe('Where the balancer reaches it', ValueKind.IP_ADDRESS)
    ]


class OperatorSettings(_Settings, frozen=True, kw_only=True):
    """A fleet operator, who may change all teams and instances."""

    id: Annotated[CallerId, describe('Name shown in the history', ValueKind.ID)]
    token_hash: Annotated[
        str, describe('Hash from `guavagate token`', ValueKind.TOKEN_HASH)
    ]


class InstanceSettings(_Settings, frozen=True, kw_only=True):
    """One instance's own TOML file; addresses are ip:port."""

    id: Annotated[InstanceId, describe('Id of the instance', ValueKind.ID)]
    availability_zone: Annotated[
        ZoneId, describe('Availability zone it runs in', ValueKind.ID)
    ]
    region: Annotated[RegionId, describe('Region it runs in', ValueKind.ID)]
    http_address: Annotated[
        str, describe('Address for HTTP', ValueKind.IP_ADDRESS)
    ]
    peer_address: Annotated[
        str, describe('Address for other instances', ValueKind.IP_ADDRESS)
    ]
    platform: PlatformSettings
    peers: tuple[PeerSettings, ...] = ()
    operators: tuple[OperatorSettings, ...] = ()
    peer_credential_file: Annotated[
        str,
        describe(
            'File that holds the credential shared by all instances; empty'
            ' lets every process that reaches the address take part'
        ),
    ] = ''
    log_format: Annotated[
        Literal['human', 'json'], describe('Form of the log lines')
    ] = 'human'
    stop_limit: Annotated[
        str, describe('Longest planned stop', ValueKind.DURATION)
    ] = '30s'
    settings_limit: Annotated[
        str,
        describe(
            'Time without the store and every peer before the instance fails'
            ' its readiness check',
            ValueKind.DURATION,
        ),
    ] = '15s'


class SamplerSettings(_Settings, frozen=True, kw_only=True):
    """One sampler: a model engine of a deployment."""

    id: Annotated[SamplerId, describe('Id of the sampler', ValueKind.ID)]
    address: Annotated[str, describe('Where it serves', ValueKind.ADDRESS)]
    availability_zone: Annotated[
        ZoneId, describe('Availability zone it runs in', ValueKind.ID)
    ]
    slots: Annotated[int, describe('Requests it works on at once', least=1)] = 8


class DeploymentWeights(_Settings, frozen=True, kw_only=True):
    """Weights of a deployment: staleness against trainer idle time."""

    staleness: Annotated[
        float, describe('Weight of the age of samples', least=0)
    ] = 1.0
    idle: Annotated[
        float, describe('Weight of the trainer waiting', least=0)
    ] = 1.0


class RunSettings(_Settings, frozen=True, kw_only=True):
    """A trainer's run on a deployment."""

    id: Annotated[RunId, describe('Id of the run', ValueKind.ID)]
    weight: Annotated[
        float, describe('Share of the samplers among the runs', above=0)
    ] = 1.0


class DeploymentSettings(_Settings, frozen=True, kw_only=True):
    """A model deployment: its samplers and bounds for their samples."""

    id: Annotated[DeploymentId, describe('Id of the deployment', ValueKind.ID)]
    samplers: tuple[SamplerSettings, ...]
    runs: tuple[RunSettings, ...] = ()
    max_staleness: Annotated[
        int, describe('Versions a delivered sample may be behind', least=0)
    ] = 2
    weights: DeploymentWeights = DeploymentWeights()
    token_timeout: Annotated[
        str, describe('Longest wait between two tokens', ValueKind.DURATION)
    ] = '5s'
    scoring_service: Annotated[
        str, describe('Id of the service of this team that scores samples')
    ] = ''
    prefetch_per_second: Annotated[
        float,
        describe('Fetches a second that the weight store allows', above=0),
    ] = 4.0
    fences_orders: Annotated[
        bool, describe('Whether its engines refuse an old fencing number')
    ] = True


class UpstreamSettings(_Settings, frozen=True, kw_only=True):
    """One upstream of a plain service."""

    id: Annotated[UpstreamId, describe('Id of the upstream', ValueKind.ID)]
    address: Annotated[str, describe('Where it serves', ValueKind.ADDRESS)]
    availability_zone: Annotated[
        ZoneId, describe('Availability zone it runs in', ValueKind.ID)
    ]


class ServiceSettings(_Settings, frozen=True, kw_only=True):
    """A plain service and its upstreams."""

    id: Annotated[ServiceId, describe('Id of the service', ValueKind.ID)]
    upstreams: tuple[UpstreamSettings, ...]
    idempotent: Annotated[
        tuple[str, ...], describe('HTTP methods that may be repeated')
    ] = ('GET', 'HEAD', 'OPTIONS')
    timeout: Annotated[
        str, describe('Longest wait for an answer', ValueKind.DURATION)
    ] = '10s'
    concurrency: Annotated[
        int, describe('Requests each upstream works on at once', least=1)
    ] = 16


class CallerSettings(_Settings, frozen=True, kw_only=True):
    """One declared caller; the token is stored as a hash."""

    id: Annotated[CallerId, describe('Id of the caller', ValueKind.ID)]
    token_hash: Annotated[
        str, describe('Hash from `guavagate token`', ValueKind.TOKEN_HASH)
    ]
    role: Annotated[Role, describe('What the token allows')] = Role.CALLER
    weight: Annotated[
        float, describe('Share within the team when full', above=0)
    ] = 1.0


class TeamSettings(_Settings, frozen=True, kw_only=True):
    """All settings of one team, stored as one object."""

    team: Annotated[TeamId, describe('Id of the team', ValueKind.ID)]
    weight: Annotated[
        float, describe('Share among the teams when full', above=0)
    ] = 1.0
    callers: tuple[CallerSettings, ...] = ()
    deployments: tuple[DeploymentSettings, ...] = ()
    services: tuple[ServiceSettings, ...] = ()
