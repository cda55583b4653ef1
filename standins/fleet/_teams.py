"""Builds the settings of the teams in a fleet file."""

from collections.abc import Mapping

from guavagate.auth import hash_token
from guavagate.models import Revision, SamplerId, UpstreamId, ZoneId
from guavagate.settings import (
    CallerSettings,
    Change,
    DeploymentSettings,
    Role,
    RunSettings,
    SamplerSettings,
    ServiceSettings,
    SettingsRecord,
    TeamSettings,
    UpstreamSettings,
    encode_record,
    render_settings,
)
from standins.fleet._plan import DeploymentPlan, ServicePlan, TeamPlan

# Address and availability zone by the name of the stand-in.
Locations = Mapping[str, tuple[str, ZoneId]]


def make_token(team: str, caller: str) -> str:
    """Return a predictable token; fleets run on the loopback only."""
    return f'gg_fleet-{team}-{caller}'


def list_tokens(plan: TeamPlan) -> dict[str, str]:
    """Return the tokens of the callers, trainers and the operator."""
    names = [caller.id for caller in plan.callers]
    runs = [one.trainer.run for one in plan.deployments if one.trainer]
    return {
        name: make_token(plan.team, name)
        for name in (*names, *runs, 'operator')
    }


def make_settings(plan: TeamPlan, locations: Locations) -> TeamSettings:
    """Return the settings of a team with the addresses of its stand-ins."""
    return TeamSettings(
        team=plan.team,
        weight=plan.weight,
        callers=_make_callers(plan),
        deployments=tuple(
            _make_deployment(deployment, locations)
            for deployment in plan.deployments
        ),
        services=tuple(
            _make_service(service, locations) for service in plan.services
        ),
    )


def make_record(settings: TeamSettings, revision: int, at: float) -> bytes:
    """Return the encoded settings record that is stored for a team."""
    change = Change(
        revision=Revision(revision),
        change_id=f'fleet-{settings.team}-{revision}',
        who='fleet',
        at=at,
        why='first settings',
    )
    return encode_record(
        SettingsRecord(
            team=settings.team,
            toml=render_settings(settings),
            change=change,
        )
    )


def _make_callers(plan: TeamPlan) -> tuple[CallerSettings, ...]:
    """Return the callers, trainers and operator with token hashes."""
    weights = {caller.id: caller.weight for caller in plan.callers}
    return tuple(
        CallerSettings(
            id=name,  # type: ignore[arg-type]
            token_hash=hash_token(token),
            role=_get_role(name, weights),  # type: ignore[arg-type]
            weight=weights.get(name, 1.0),  # type: ignore[call-overload]
        )
        for name, token in list_tokens(plan).items()
    )


def _get_role(name: str, callers: Mapping[str, float]) -> Role:
    """Return the role of a caller."""
    if name in callers:
        return Role.CALLER
    return Role.OPERATOR if name == 'operator' else Role.TRAINER


def _make_deployment(
    plan: DeploymentPlan, locations: Locations
) -> DeploymentSettings:
    """Return a deployment with the addresses of its samplers."""
    names = [f'{plan.id}-{number}' for number in range(1, plan.samplers + 1)]
    return DeploymentSettings(
        id=plan.id,
        samplers=tuple(
            SamplerSettings(
                id=SamplerId(name),
                address=locations[name][0],
                availability_zone=locations[name][1],
                slots=plan.slots,
            )
            for name in names
        ),
        runs=_make_runs(plan),
        max_staleness=plan.max_staleness,
        weights=plan.weights,
        token_timeout=plan.token_timeout,
        scoring_service=plan.scoring_service,
        fences_orders=plan.fences_orders,
    )


def _make_runs(plan: DeploymentPlan) -> tuple[RunSettings, ...]:
    """Return the run of the deployment's trainer, if it has one."""
    if plan.trainer is None:
        return ()
    return (RunSettings(id=plan.trainer.run),)


def _make_service(plan: ServicePlan, locations: Locations) -> ServiceSettings:
    """Return a service with the addresses of its upstreams."""
    names = [f'{plan.id}-{number}' for number in range(1, plan.upstreams + 1)]
    return ServiceSettings(
        id=plan.id,
        upstreams=tuple(
            UpstreamSettings(
                id=UpstreamId(name),
                address=locations[name][0],
                availability_zone=locations[name][1],
            )
            for name in names
        ),
        idempotent=plan.idempotent,
        timeout=plan.timeout,
    )
