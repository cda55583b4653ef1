"""Schema of a fleet file: instances, platform, stand-ins and teams."""

import tomllib
from pathlib import Path

import click
import msgspec

from guavagate.models import (
    CallerId,
    DeploymentId,
    RegionId,
    RunId,
    ServiceId,
    TeamId,
    ZoneId,
)
from guavagate.settings import DeploymentWeights


class _Plan(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all plans: immutable, keyword-only, rejects unknown keys."""


class PlatformPlan(_Plan, frozen=True, kw_only=True):
    """Rate limits of the object API, in calls per second."""

    reads: float = 2000
    writes: float = 400


class WeightStorePlan(_Plan, frozen=True, kw_only=True):
    """Limit of the weight store in fetches per second, and their duration."""

    rate: float = 12
    fetch_s: float = 0.05


class EnginePlan(_Plan, frozen=True, kw_only=True):
    """Behaviour of every engine."""

    token_s: float = 0.01
    slowdown: float = 1.0
    swap_s: float = 0.1
    piece_tokens: int = 1
    fixed_length: bool = False


class ServiceUpstreamPlan(_Plan, frozen=True, kw_only=True):
    """Behaviour of every upstream of a plain service."""

    work_s: float = 0.02


class TrainerPlan(_Plan, frozen=True, kw_only=True):
    """Size of a trainer's steps and how often it publishes a version."""

    run: RunId
    groups: int = 12
    samples: int = 4
    max_tokens: int = 48
    publish_every_s: float = 6.0
    lose_answers: float = 0
    timeout_s: float = 10


class DeploymentPlan(_Plan, frozen=True, kw_only=True):
    """A deployment; `samplers` is their number."""

    id: DeploymentId
    samplers: int = 6
    slots: int = 8
    max_staleness: int = 2
    token_timeout: str = '5s'
    scoring_service: str = ''
    fences_orders: bool = True
    weights: DeploymentWeights = DeploymentWeights()
    trainer: TrainerPlan | None = None


class ServicePlan(_Plan, frozen=True, kw_only=True):
    """A plain service, or a scoring service."""

    id: ServiceId
    upstreams: int = 3
    idempotent: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
    timeout: str = '10s'
    scoring: bool = False


class MixPlan(_Plan, frozen=True, kw_only=True):
    """Shares of the kinds of request that a caller sends."""

    completion: float = 0
    chat: float = 0
    read: float = 0
    write: float = 0


class CallerPlan(_Plan, frozen=True, kw_only=True):
    """A caller; `rate` is in requests per second."""

    id: CallerId
    rate: float = 10.0
    weight: float = 1.0
    model: str = ''
    service: str = ''
    mix: MixPlan = MixPlan()
    impatience: float = 0
    timeout_s: float = 10


class TeamPlan(_Plan, frozen=True, kw_only=True):
    """A team with its deployments, services and callers."""

    team: TeamId
    weight: float = 1.0
    deployments: tuple[DeploymentPlan, ...] = ()
    services: tuple[ServicePlan, ...] = ()
    callers: tuple[CallerPlan, ...] = ()


class FleetPlan(_Plan, frozen=True, kw_only=True):
    """The contents of a fleet file."""

    region: RegionId
    availability_zones: tuple[ZoneId, ...]
    instances: int = 7
    platform: PlatformPlan = PlatformPlan()
    weight_store: WeightStorePlan = WeightStorePlan()
    engine: EnginePlan = EnginePlan()
    service: ServiceUpstreamPlan = ServiceUpstreamPlan()
    teams: tuple[TeamPlan, ...] = ()


def load_plan(path: Path) -> FleetPlan:
    """Load a fleet file."""
    try:
        plain = tomllib.loads(path.read_text(encoding='utf-8'))
        return msgspec.convert(plain, FleetPlan)
    except (OSError, ValueError) as error:
        raise click.ClickException(
            f'{path}: {error}; compare it with examples/authority.toml'
        ) from error
