"""Instances that own jobs, with fakes of all their dependencies."""

from collections.abc import Sequence

import msgspec

from guavagate.jobs import (
    AnnouncedJobs,
    GroupId,
    ItemId,
    Job,
    JobId,
    JobIntake,
    JobItem,
    JobOwner,
    JobReader,
    JobStore,
    LookupStatus,
    Ownership,
    OwnerWatch,
    Result,
    ResultState,
    TextReplicas,
    TextSnapshots,
)
from guavagate.measure.fakes import World
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, RegionId, WeightVersion, ZoneId
from guavagate.ports.configuration import (
    Configuration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
    Warmup,
)
from guavagate.residency import Residency
from guavagate.rollouts import SamplerStates
from guavagate.routing import (
    Eligibility,
    EligibleSamplers,
    RouteTable,
    UpstreamTable,
)
from guavagate.warmup import WarmupBound, limit_starts
from tests.jobs.rewards import FakeRewardClient, make_reward
from tests.jobs.samplers import MODEL, SERVICE, FakeSamplers, make_upstream
from tests.quarantine.common import make_quarantine


def make_job(
    name: str = 'job-1',
    groups: int = 3,
    size: int = 2,
    *,
    rated: bool = False,
    **fields: object,
) -> Job:
    """Return a job whose items are named by group and number."""
    items = [
        JobItem(
            id=ItemId(f'{group}-{number}'),
            path='/x/1',
            headers={},
            body=b'body',
            group=GroupId(f'g{group}'),
            reward=make_reward(f'{group}-{number}') if rated else None,
        )
        for group in range(groups)
        for number in range(size)
    ]
    values: dict = {
        'id': JobId(name),
        'host': 'a.example',
        'service': SERVICE,
        'model': MODEL,
        'step': 0,
        'min_version': WeightVersion(1),
        'target_groups': groups,
        'submitted_at': 0,
        'fingerprint': name,
        'max_attempts': 3,
        'item_ttl': 40,
        'objective': 7.5,
        'items': items,
    }
    return Job(**{**values, **fields})


class Places(msgspec.Struct):
    """The regions of instances and zones, and the zones of samplers."""

    regions: dict[str, RegionId]
    region_of: dict[ZoneId, RegionId]
    zones: dict[str, ZoneId]


class Node:
    """One instance with its job owner and job reader."""

    def __init__(self, fleet: 'JobFleet', name: str) -> None:
        world = fleet.world
        self.clock = world.hosts[InstanceId(name)].clock
        store = world.store_of(name)
        self.job_store = JobStore(
            store, self.clock, f'{name}/{len(fleet.nodes)}'
        )
        self.upstreams = UpstreamTable(
            self.clock,
            ZoneId('zone-0'),
            eligibility=Eligibility(fleet.region_of),
        )
        self.routes = RouteTable()
        members = world.members[InstanceId(name)]
        self.residency = Residency(
            self.routes, self.upstreams, members, InstanceId(name), Metrics()
        ).jobs
        self.ownership = Ownership(
            members,
            InstanceId(name),
            find_regions=self.residency.find_home_regions,
        )
        self.ownership.ready = True
        self.metrics = Metrics()
        self.budgets = limit_starts(
            self.clock,
            world.bus(name),
            world.members[InstanceId(name)],
            self.ownership,
            fleet.make_routes(),
            self.upstreams,
            self.metrics,
            WarmupBound(excess=1.5, slack=5),
        )
        self.states = SamplerStates()
        self.samplers = FakeSamplers(self.clock, fleet.length)
        for sampler in fleet.samplers:
            upstream = make_upstream(sampler)
            zone = fleet.zones.get(sampler, upstream.zone)
            self.upstreams.put(msgspec.structs.replace(upstream, zone=zone))
            self.states.assigned[make_upstream(sampler).id] = frozenset(
                (MODEL,)
            )
        self.states.update(self.upstreams.registered())
        self.rewards = FakeRewardClient(self.clock)
        self.quarantine = make_quarantine(
            self.clock,
            self.upstreams,
            lambda address: any(
                address == make_upstream(each).address
                for each in self.samplers.down
            ),
        )
        self.replicas = TextReplicas(world.bus(name))
        self.announced = AnnouncedJobs(
            self.clock, world.bus(name), self.metrics
        )
        self.intake = JobIntake(
            self.clock,
            world.bus(name),
            InstanceId(name),
            self.job_store,
            self.ownership,
            self.announced,
            lambda: [SERVICE],
            self.residency,
        )
        self.owner = JobOwner(
            SERVICE,
            self.clock,
            self.job_store,
            self.upstreams,
            self.states,
            EligibleSamplers(self.samplers, self.upstreams),
            self.rewards,
            self.quarantine,
            lambda: 4,
            self.metrics,
            120.0,
            self.replicas,
            TextSnapshots(fleet.folders.get(name, ''), lambda work: work()),
            lambda: self.ownership.list_replica_holders(SERVICE),
            self.announced,
            self.clock.now,
            cache_tokens=lambda: fleet.cache_tokens,
            starts=self.budgets.get(SERVICE),
            bounds=self.residency,
        )
        self.reader = JobReader(
            self.clock,
            world.bus(name),
            self.job_store,
            self.ownership,
            lambda _: self.owner if self.owner.active else None,
            self.residency,
        )
        self.routes.subscribe(self.reader.drop_outside)
        self.watch = OwnerWatch(
            self.clock,
            world.bus(name),
            InstanceId(name),
            self.ownership,
            self.metrics,
            self.refresh,
            self.clock.now,
        )
        self.watch.start()

    def refresh(self) -> None:
        """Start or stop the job owner, as `JobServices` does."""
        home = self.residency.find_home_regions(SERVICE)
        if not self.residency.may_hold_here(home):
            self.announced.drop_service(SERVICE)
            self.replicas.drop_service(SERVICE)
        self.watch.update([SERVICE])
        is_owner = self.ownership.is_owner(SERVICE)
        if is_owner or self.watch.stands_in(SERVICE):
            self.owner.start()
            self.owner.mark_uncertain()
            self.owner.apply_regions()
        else:
            self.owner.stop(self.ownership.find_owner(SERVICE))


class JobFleet:
    """Several instances; each runs jobs while the membership makes it owner."""

    def __init__(
        self,
        names: Sequence[str] = 'abc',
        length: int = 5,
        samplers: str = 'xyz',
        folders: dict[str, str] | None = None,
        warmup: Warmup | None = None,
        places: Places | None = None,
        zones: dict[str, str] | None = None,
    ) -> None:
        self.warmup = warmup
        self.world = World()
        self.zones = places.zones if places else {}
        self.region_of = places.region_of if places else {}
        regions = places.regions if places else {}
        self.folders = folders or {}
        self.clock = self.world.clock
        self.length = length
        self.cache_tokens = 0
        self.samplers = samplers
        self.nodes: dict[str, Node] = {}
        for name in names:
            self.world.add(name, (zones or {}).get(name, ''))
            if name in regions:
                self.world.relocate(name, regions[name])
        self.clock.advance(1)
        for name in names:
            self.nodes[name] = Node(self, name)
        for node in self.nodes.values():
            self.follow_membership(node)

    def make_routes(self) -> RouteTable:
        """Return the routes of an instance: one for jobs."""
        route = Route(
            name='r',
            host='a.example',
            prefix='/x/',
            kind=RouteKind.JOB,
            shares=(ServiceShare(SERVICE, 1),),
            timeout=10,
            objective=0.4,
        )
        service = Service(id=SERVICE, slots=4, warmup=self.warmup)
        routes = RouteTable()
        routes.apply(
            Configuration(version=1, routes=(route,), services=(service,))
        )
        return routes

    def follow_membership(self, node: Node) -> None:
        """Start and stop a node's owner when the membership changes."""
        node.ownership._members.subscribe(node.refresh)
        node.refresh()

    def submit(self, job: Job, at: str, *, announced: bool = True) -> bool:
        """Accept a job at an instance; its announcement may be lost."""
        node = self.nodes[at]
        intake = node.intake if announced else node.job_store
        task = node.clock.spawn(intake.accept, self.stamp(job), 2.5)
        self.clock.run_until(task.ready, 5)
        return bool(task.get(block=False))

    def stamp(self, job: Job) -> Job:
        """Return a copy of a job that is submitted now."""
        return msgspec.structs.replace(job, submitted_at=self.clock.wall())

    def owner(self) -> str:
        """Return the name of the owner."""
        node = next(iter(self.nodes.values()))
        return str(node.ownership.find_owner(SERVICE))

    def read(
        self, job: str, at: str, after: int = 0
    ) -> tuple[object, list[Result]]:
        """Return a job's look-up status and results as read at an instance."""
        node = self.nodes[at]
        task = node.clock.spawn(
            node.reader.read, [SERVICE], JobId(job), after, 0
        )
        self.clock.run_until(task.ready, 5)
        known, page = task.get(block=False)
        return known, [] if page is None else page.results


class RoleFleet(JobFleet):
    """Instances by their roles: owner, successors, and one for callers."""

    def __init__(self, names: str, length: int) -> None:
        super().__init__(names, length)
        self.clock.advance(1)
        in_turn = self.nodes['a'].ownership.list_in_turn(SERVICE)
        nodes = [self.nodes[str(each)] for each in in_turn]
        self.first, self.successor = nodes[:2]
        self.entry = nodes[-1]

    def cut(self, node: Node, *others: Node) -> None:
        """Drop all messages between an instance and some or all others."""
        me = node.ownership.me
        for other in others or self.nodes.values():
            peer = other.ownership.me
            self.world.network.blocked |= {(me, peer), (peer, me)}

    def accept(self, job: Job) -> None:
        """Accept a job at the entry."""
        self.submit(job, self.entry.ownership.me)

    def kill_owner(self) -> None:
        """Kill the owner; the others notice after 2 s."""
        self.world.kill(self.first.ownership.me)

    def complete(self, items: int = 6) -> None:
        """Heal the network; check the results that each instance returns."""
        self.clock.advance(20)
        self.world.network.blocked.clear()
        for name in self.nodes:
            if not self.world.hosts[InstanceId(name)].dead:
                check_complete(self, name, items)


def find_other(fleet: JobFleet) -> str:
    """Return the name of an instance that is not the owner."""
    return next(name for name in fleet.nodes if name != fleet.owner())


def check_complete(fleet: JobFleet, at: str, items: int) -> None:
    """Check that each item is committed once, with its complete text."""
    known, results = fleet.read('job-1', at)
    assert known is LookupStatus.FOUND
    assert len({each.id for each in results}) == len(results) == items
    for result in results:
        lines = result.text.split('\n')
        expected = [f'{result.id}/{n}' for n in range(1, fleet.length + 1)]
        assert lines == expected
        assert result.state is ResultState.COMPLETED
