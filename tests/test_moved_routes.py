"""Jobs whose route has moved to another service, or away and back."""

import msgspec
import pytest

from guavagate.former_services import LINGER_SECONDS
from guavagate.jobs import Job, JobReader, Ownership, Result
from guavagate.jobs._models import JobId
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, ServiceId, WeightVersion
from guavagate.ports.configuration import Configuration, Service, ServiceShare
from guavagate.service import JobServices
from tests.jobs.fleet import make_job
from tests.jobs.samplers import MODEL, SERVICE, FakeSamplers, make_upstream
from tests.rollouts.test_coordinator import make_configuration
from tests.test_service import FakeRegistry, start_services

_NAMES = tuple(InstanceId(name) for name in 'abc')
_NEW = ServiceId('llm-2')
_RETENTION_SECONDS = 120


def _configure(version: int, service: ServiceId) -> Configuration:
    """Return a configuration whose only job route goes to a service."""
    configuration = make_configuration(version)
    route = msgspec.structs.replace(
        configuration.routes[0], shares=(ServiceShare(service, 1),)
    )
    services = tuple(
        Service(id=each, slots=4, models=(MODEL,)) for each in (SERVICE, _NEW)
    )
    return Configuration(version=version, routes=(route,), services=services)


class _Fleet:
    """Three instances before the samplers of two services."""

    def __init__(self) -> None:
        self.world = World()
        self.clock = self.world.clock
        self.services: dict[InstanceId, JobServices] = {}
        self._readers: dict[InstanceId, JobReader] = {}
        self._configuration = _configure(1, SERVICE)
        for name in _NAMES:
            self.world.add(name)
        self.clock.advance(1)
        for name in _NAMES:
            self.start(name, first_start=True)
        self.clock.advance(1)

    def start(self, name: InstanceId, *, first_start: bool) -> None:
        """Start an instance with the configuration in force."""
        services = start_services(
            self.world,
            name,
            FakeRegistry(first_start=first_start),
            configuration=self._configuration,
        )
        for sampler in 'uvw':
            upstream = msgspec.structs.replace(
                make_upstream(sampler), service=_NEW
            )
            services._upstreams.put(upstream)
        services.refresh()
        self.services[name] = services
        bus = self.world.bus(name)
        ownership = Ownership(self.world.members[name], name)
        self._readers[name] = JobReader(
            self.world.hosts[name].clock,
            bus,
            services._job_store,
            ownership,
            services.find,
        )

    def restart_all(self) -> None:
        """Kill all instances, and start them without their memory."""
        for name in _NAMES:
            self.kill(name)
        for name in _NAMES:
            self.world.add(name)
        self.clock.advance(1)
        for name in _NAMES:
            self.start(name, first_start=False)

    def restart_in_turn(self) -> None:
        """Kill and start one instance after the other."""
        for name in _NAMES:
            self.kill(name)
            self.clock.advance(0.5)
            self.world.add(name)
            self.start(name, first_start=False)
            self.clock.advance(1.3)

    def lead(self) -> None:
        """Have the owner take the lease, by a version for its samplers."""
        for services in self.services.values():
            services.record_published_version(MODEL, WeightVersion(2))
        self.clock.advance(3)

    def kill(self, name: InstanceId) -> None:
        """Kill an instance."""
        self.world.kill(name)
        self.services.pop(name)
        self._readers.pop(name)

    def move(self, version: int, service: ServiceId) -> None:
        """Move the route to a service."""
        self._configuration = _configure(version, service)
        for services in self.services.values():
            services._routes.apply(self._configuration)
            services.refresh()

    def submit(self, job: Job) -> None:
        """Accept a job at an instance."""
        services = next(iter(self.services.values()))
        stamped = msgspec.structs.replace(job, submitted_at=self.clock.wall())
        task = services._clock.spawn(services.intake.accept, stamped, 2.5)
        self.clock.run_until(task.ready, 5)

    def read(self, job: str = 'job-1') -> list[Result]:
        """Return the results of a job, read at some instance."""
        name, services = next(iter(self.services.items()))
        task = services._clock.spawn(
            self._readers[name].read,
            services._routes.job_services(),
            JobId(job),
            0,
            0,
        )
        self.clock.run_until(task.ready, 5)
        _, page = task.get(block=False)
        return [] if page is None else page.results

    def find_owner(self, service: ServiceId) -> InstanceId | None:
        """Return the instance that works on a service's jobs."""
        active = [
            name
            for name, each in self.services.items()
            if each.find(service) is not None
        ]
        assert len(active) <= 1
        return active[0] if active else None

    def list_used(self) -> set[str]:
        """Return the samplers that ran an item."""
        used: set[str] = set()
        for services in self.services.values():
            client = services._client
            assert isinstance(client, FakeSamplers)
            used |= {sampler for _, sampler, _ in client.started}
        return used

    def check(self, items: int = 6) -> None:
        """Check that a job is complete, each result once."""
        results = self.read()
        assert len({each.id for each in results}) == len(results) == items


def test_an_open_job_is_completed_by_its_service_after_its_route_moved() -> (
    None
):
    """No route names the service any more, and its owner stopped."""
    fleet = _Fleet()
    fleet.submit(make_job())
    fleet.move(2, _NEW)
    fleet.read()
    fleet.clock.advance(5)
    fleet.check()
    assert fleet.list_used() <= set('xyz')


def test_both_services_complete_their_jobs() -> None:
    """The next step of the trainer goes to the new service."""
    fleet = _Fleet()
    fleet.submit(make_job())
    fleet.move(2, _NEW)
    second = msgspec.structs.replace(make_job('job-2'), service=_NEW)
    fleet.submit(second)
    fleet.clock.advance(8)
    fleet.check()
    assert len(fleet.read('job-2')) == 6
    assert fleet.list_used() <= set('uvwxyz')


def test_a_route_that_moves_away_and_back_completes_its_jobs() -> None:
    """The former service is one with routes again, and is not given up."""
    fleet = _Fleet()
    fleet.submit(make_job())
    fleet.move(2, _NEW)
    fleet.clock.advance(1)
    fleet.move(3, SERVICE)
    fleet.clock.advance(LINGER_SECONDS + 5)
    fleet.check()
    assert fleet.find_owner(SERVICE) is not None


def test_a_successor_completes_a_job_whose_route_moved() -> None:
    """The owner is lost right after the route has moved."""
    fleet = _Fleet()
    fleet.submit(make_job())
    fleet.move(2, _NEW)
    owner = fleet.find_owner(SERVICE)
    assert owner is not None
    fleet.kill(owner)
    fleet.clock.advance(12)
    fleet.check()
    assert fleet.list_used() <= set('xyz')


def test_instances_that_start_later_complete_a_job_whose_route_moved() -> None:
    """All are restarted, and none has seen the former configuration."""
    fleet = _Fleet()
    fleet.lead()
    fleet.submit(msgspec.structs.replace(make_job(), item_ttl=60))
    fleet.move(2, _NEW)
    fleet.restart_all()
    fleet.clock.advance(12)
    fleet.check()
    assert fleet.list_used() <= set('xyz')


@pytest.mark.parametrize('at_once', [True, False])
@pytest.mark.parametrize(
    'moves', [[_NEW], [_NEW, SERVICE], [_NEW, ServiceId('llm-3')]]
)
def test_instances_that_start_later_know_a_service_without_a_lease(
    moves: list[ServiceId], *, at_once: bool
) -> None:
    """Its trainer has named no version yet, so nothing was ordered for it.

    All instances are restarted, at once or in turn, after the route has moved,
    moved back or moved twice. Nobody worked on the open step any more.
    """
    fleet = _Fleet()
    fleet.submit(msgspec.structs.replace(make_job(), item_ttl=60))
    for version, service in enumerate(moves, 2):
        fleet.move(version, service)
    if at_once:
        fleet.restart_all()
    else:
        fleet.restart_in_turn()
    fleet.clock.advance(15)
    fleet.check()
    assert fleet.list_used() <= set('xyz')


def test_instances_that_start_while_the_store_is_away_learn_of_it_later() -> (
    None
):
    """They can't read which services had an owner until it is back."""
    fleet = _Fleet()
    fleet.lead()
    fleet.submit(msgspec.structs.replace(make_job(), item_ttl=60))
    fleet.move(2, _NEW)
    fleet.world.store.outage = True
    fleet.restart_all()
    fleet.clock.advance(3)
    fleet.world.store.outage = False
    fleet.clock.advance(12)
    fleet.check()


def test_a_released_lease_names_a_former_service_too() -> None:
    """All instances were stopped as planned, and released their leases."""
    fleet = _Fleet()
    fleet.lead()
    fleet.submit(msgspec.structs.replace(make_job(), item_ttl=60))
    fleet.move(2, _NEW)
    for services in fleet.services.values():
        services.leave()
    fleet.clock.advance(2)
    fleet.restart_all()
    fleet.clock.advance(12)
    fleet.check()


def test_a_former_service_without_open_jobs_is_given_up() -> None:
    """Its lease and its orders to samplers cost calls."""
    fleet = _Fleet()
    fleet.move(2, _NEW)
    fleet.clock.advance(1)
    assert fleet.find_owner(SERVICE) is not None
    fleet.clock.advance(LINGER_SECONDS + 5)
    assert fleet.find_owner(SERVICE) is None
    assert fleet.find_owner(_NEW) is not None
    fleet.clock.advance(_RETENTION_SECONDS + 5)
    for services in fleet.services.values():
        assert not services._routes.former_job_services()
