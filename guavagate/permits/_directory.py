"""Divides upstreams into pools and finds each pool's queue owner.

Load pattern: many entries send work to the same few upstreams, which admit
everything. Without a common queue for an upstream the entries overload it, and
no instance can rank interactive work before samples. One queue for all 730
samplers would take a whole processor of its instance. With one queue for each
sampler, work waits behind a long job next to an idle sampler. A pool of at most
16 is the smallest at which one long job blocks under a tenth of the slots.
"""

from typing import Final

import msgspec

from guavagate.models import (
    DeploymentId,
    InstanceId,
    ServiceId,
    TeamId,
    UpstreamId,
    ZoneId,
)
from guavagate.ports.upstreams import Upstream
from guavagate.settings import (
    DeploymentSettings,
    PeerSettings,
    ServiceSettings,
    TeamSettings,
)
from guavagate.util.rendezvous import weigh

MAX_POOL: Final = 16


class PoolMember(msgspec.Struct, frozen=True, kw_only=True):
    """One upstream of a pool."""

    id: UpstreamId
    address: str
    zone: ZoneId
    slots: int


class PoolSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One pool: part of a deployment's samplers, or a service's upstreams."""

    key: str
    team: TeamId
    members: tuple[PoolMember, ...]
    deployment: DeploymentId | None = None
    service: ServiceId | None = None


def split_deployment(
    team: TeamId,
    deployment: DeploymentSettings,
) -> list[PoolSpec]:
    """Return the pools of a deployment: few, and of about equal size."""
    members = [
        PoolMember(
            id=UpstreamId(sampler.id),
            address=sampler.address,
            zone=sampler.availability_zone,
            slots=sampler.slots,
        )
        for sampler in deployment.samplers
    ]
    count = max(1, -(-len(members) // MAX_POOL))
    return [
        PoolSpec(
            key=f'{team}/{deployment.id}/{number}',
            team=team,
            members=tuple(members[number::count]),
            deployment=deployment.id,
        )
        for number in range(count)
    ]


def make_service_pool(team: TeamId, service: ServiceSettings) -> PoolSpec:
    """Return the pool of a plain service's upstreams."""
    return PoolSpec(
        key=f'{team}/{service.id}/0',
        team=team,
        members=tuple(
            PoolMember(
                id=upstream.id,
                address=upstream.address,
                zone=upstream.availability_zone,
                slots=service.concurrency,
            )
            for upstream in service.upstreams
        ),
        service=service.id,
    )


def list_pools(teams: list[TeamSettings]) -> dict[str, PoolSpec]:
    """Return every pool that the current settings declare, by key."""
    pools: dict[str, PoolSpec] = {}
    for team in teams:
        for deployment in team.deployments:
            for spec in split_deployment(team.team, deployment):
                pools[spec.key] = spec
        for service in team.services:
            spec = make_service_pool(team.team, service)
            pools[spec.key] = spec
    return pools


def name_upstream(pool: str, upstream: UpstreamId) -> UpstreamId:
    """Return a name that no upstream of another pool has."""
    return UpstreamId(f'{pool}/{upstream}')


def find_upstream(
    teams: list[TeamSettings], name: UpstreamId
) -> Upstream | None:
    """Return the declared upstream of such a name, or `None`."""
    key, _, upstream = name.rpartition('/')
    spec = list_pools(teams).get(key)
    for member in () if spec is None else spec.members:
        if member.id == upstream:
            return Upstream(
                id=name,
                service=ServiceId(key),
                address=member.address,
                zone=member.zone,
                slots=member.slots,
            )
    return None


def find_queue_owner(key: str, alive: list[PeerSettings]) -> InstanceId | None:
    """Return the queue owner of a pool among the live instances.

    With rendezvous hashing only the pools of a stopped instance move. Two
    instances that disagree on the members for a moment may find two queue
    owners. That can overload the upstreams for that moment, but breaks no
    guarantee.
    """
    return max(
        (peer.id for peer in alive),
        key=lambda name: weigh(key, name),
        default=None,
    )
