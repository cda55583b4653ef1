"""Starts and stops the job owners and coordinators of services with jobs."""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from guavagate.clock import Clock
from guavagate.duties import Scaler
from guavagate.exceptions import StoreUnavailableError
from guavagate.former_services import FormerServices
from guavagate.jobs import (
    AnnouncedJobs,
    JobIntake,
    JobOwner,
    JobStore,
    Ownership,
    OwnerWatch,
    TextReplicas,
    TextSnapshots,
    compute_message_limit,
)
from guavagate.links import Bus
from guavagate.membership.registry import MemberRegistry
from guavagate.metrics import Metrics
from guavagate.models import (
    InstanceId,
    ServiceId,
    UpstreamId,
    WeightVersion,
)
from guavagate.owned_service import OwnedService
from guavagate.ports.duties import DutyClient
from guavagate.ports.rewards import RewardClient
from guavagate.ports.sampler import SamplerClient
from guavagate.quarantine import Quarantine
from guavagate.residency import JobBounds, UnboundJobs
from guavagate.rollouts import (
    MAX_SUCCESSORS,
    Coordinator,
    Lease,
    PublishedVersions,
    Renewals,
    SamplerStates,
    lease_path,
    list_holders,
    list_leased_services,
)
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.util.boot_clock import read_boot_clock
from guavagate.warmup import SoleProof, StartBudgets

_LOGGER: Final = logging.getLogger(__name__)


class JobServices:
    """Starts and stops the work for the services that this instance owns."""

    def __init__(
        self,
        me: InstanceId,
        clock: Clock,
        job_store: JobStore,
        ownership: Ownership,
        routes: RouteTable,
        upstreams: UpstreamTable,
        client: SamplerClient,
        rewards: RewardClient,
        quarantine: Quarantine,
        lease_seconds: float,
        metrics: Metrics,
        retention: float,
        renewals: Renewals,
        bus: Bus,
        data_dir: str,
        link_bytes_per_second: float = 0,
        duties: DutyClient | None = None,
        boot_clock: Callable[[], float] = read_boot_clock,
        budgets: StartBudgets | None = None,
        bounds: JobBounds | None = None,
    ) -> None:
        self._budgets = budgets
        self._bounds = bounds or UnboundJobs()
        self._watch = OwnerWatch(
            clock, bus, me, ownership, metrics, self.refresh, boot_clock
        )
        self._boot_clock = boot_clock
        self._duties = duties
        self._renewals = renewals
        self._replicas = TextReplicas(
            bus, compute_message_limit(link_bytes_per_second)
        )
        self._snapshots = TextSnapshots(data_dir)
        self._announced = AnnouncedJobs(clock, bus, metrics)
        self.intake = JobIntake(
            clock,
            bus,
            me,
            job_store,
            ownership,
            self._announced,
            routes.job_services,
            self._bounds,
        )
        self._me = me
        self._clock = clock
        self._job_store = job_store
        self._ownership = ownership
        self._routes = routes
        self._upstreams = upstreams
        self._client = client
        self._rewards = rewards
        self._quarantine = quarantine
        self._lease_seconds = lease_seconds
        self._metrics = metrics
        self._retention = retention
        self._published = PublishedVersions(clock)
        self._published.on_change = self._wake
        self._services: dict[ServiceId, OwnedService] = {}
        self._leaving = False
        self._former = FormerServices(
            clock,
            routes,
            retention,
            self._count_open_jobs,
            self._list_former_services,
            self.refresh,
        )
        self._start_versions: Callable[[], None] = _do_nothing
        self._stop_versions: Callable[[], None] = _do_nothing
        upstreams.subscribe(self._wake)

    def set_version_watch(
        self, start: Callable[[], None], stop: Callable[[], None]
    ) -> None:
        """Set the functions that start and stop the published-version watch."""
        self._start_versions = start
        self._stop_versions = stop

    def record_published_version(
        self, model: str, version: WeightVersion
    ) -> None:
        """Record a version that a trainer has published."""
        self._published.put(model, version)

    def find(self, service: ServiceId) -> JobOwner | None:
        """Return a service's job owner if it is active on this instance."""
        found = self._services.get(service)
        if found is None or not found.owner.active:
            return None
        return found.owner

    def take_ownership(self, registry: MemberRegistry) -> None:
        """Take over owned services once the other instances are known."""
        was_owner = not registry.first_start and self._load_former_owners()
        if was_owner:
            registry.wait_for_discovery(
                self._ownership.is_among_longest_running
            )
        else:
            registry.wait_for_discovery()
        self._ownership.ready = not self._leaving
        self._watch.start()
        self._former.start(load=not registry.first_start)
        self.refresh()

    def _load_former_owners(self) -> bool:
        """Read which instances owned the services before this start.

        Returns
        -------
        bool
            Whether this instance was one of them. No other instance takes its
            services over unless that one has run for longer, so it needn't
            wait until it has discovered all instances that start with it;
            each moment without an owner delays the services' steps.
        """
        try:
            former = list_holders(self._job_store.object_store)
        except StoreUnavailableError as error:
            _LOGGER.debug('Failed to read the former owners: %s', error)
            return False
        self._ownership.set_former_owners(former)
        return self._me in former.values()

    def _list_former_services(self) -> set[ServiceId]:
        """Return the services that ever had a job or a lease.

        Jobs of earlier releases have left a lease alone.
        """
        leased = list_leased_services(self._job_store.object_store)
        return {*leased, *self._job_store.list_services()}

    def _count_open_jobs(self, service: ServiceId) -> int | None:
        running = self._services.get(service)
        return None if running is None else running.owner.count_open_jobs()

    def leave(self) -> None:
        """Hand all services over and take none over again."""
        self._leaving = True
        self._ownership.ready = False
        self.refresh()

    @property
    def active(self) -> bool:
        """Return whether this instance works on any service's jobs."""
        return any(service.owner.active for service in self._services.values())

    def count_items(self, upstream: UpstreamId) -> int:
        """Return how many items of this instance's jobs run at an upstream."""
        return sum(
            service.states.get(upstream).in_flight
            for service in self._services.values()
            if service.owner.active
        )

    def refresh(self) -> None:
        """Start newly owned services and stop those no longer owned."""
        services = self._routes.job_services()
        self._drop_outside(services)
        self._watch.update(services)
        owned = {each for each in services if self._ownership.is_owner(each)}
        for service in owned:
            self._get(service).start()
        stands_in = set(filter(self._watch.stands_in, services))
        for service in stands_in:
            self._get(service).stand_in()
        for service, running in self._services.items():
            if service in owned | stands_in:
                running.owner.apply_regions()
            else:
                running.stop(self._find_next_owner(service))
        if owned:
            self._start_versions()
        else:
            self._stop_versions()

    def _drop_outside(self, services: Iterable[ServiceId]) -> None:
        """Drop what this instance holds for services whose owner is elsewhere.

        Their regions have changed, and exclude this instance now.
        """
        for service in services:
            home = self._bounds.find_home_regions(service)
            if not self._bounds.may_hold_here(home):
                self._announced.drop_service(service)
                self._replicas.drop_service(service)

    def _get(self, service: ServiceId) -> OwnedService:
        return self._services.get(service) or self._make(service)

    def _make(self, service: ServiceId) -> OwnedService:
        states = SamplerStates()
        starts = None if self._budgets is None else self._budgets.get(service)
        owner = JobOwner(
            service,
            self._clock,
            self._job_store,
            self._upstreams,
            states,
            self._client,
            self._rewards,
            self._quarantine,
            lambda: self._count_slots(service),
            self._metrics,
            self._retention,
            self._replicas,
            self._snapshots,
            lambda: self._ownership.list_replica_holders(service),
            self._announced,
            cache_tokens=lambda: self._get_cache_tokens(service),
            starts=starts,
            bounds=self._bounds,
        )
        lease = Lease(
            self._job_store.object_store,
            lease_path(service),
            self._me,
            self._lease_seconds,
            self._renewals,
            lambda: self._list_successors(service),
            self._boot_clock,
        )
        coordinator = Coordinator(
            service,
            self._me,
            self._clock,
            lease,
            self._routes,
            self._upstreams,
            self._published,
            states,
            self._client,
            owner.collect_demands,
            lambda: self._count_slots(service),
            self._metrics,
            self._bounds.find_default_regions,
        )
        states.subscribe(coordinator.wake)
        scaler = self._make_scaler(service, lease, owner, states)
        proof = None
        if starts is not None:
            proof = SoleProof(self._clock, lease, starts.applies)
            starts.is_sole = proof.is_sole
        created = OwnedService(
            service, owner, coordinator, states, scaler, proof
        )
        self._services[service] = created
        return created

    def _make_scaler(
        self,
        service: ServiceId,
        lease: Lease,
        owner: JobOwner,
        states: SamplerStates,
    ) -> Scaler | None:
        if self._duties is None:
            return None
        return Scaler(
            service,
            self._me,
            self._clock,
            lease,
            self._routes,
            self._upstreams,
            self._duties,
            owner.count_open,
            lambda: self._count_slots(service),
            states.estimate_texts,
            self._metrics,
        )

    def _list_successors(self, service: ServiceId) -> list[InstanceId]:
        ranked = self._ownership.rank_candidates(service)
        return [each for each in ranked if each != self._me][:MAX_SUCCESSORS]

    def _find_next_owner(self, service: ServiceId) -> InstanceId | None:
        in_turn = self._ownership.list_in_turn(service)
        return next((each for each in in_turn if each != self._me), None)

    def _count_slots(self, service: ServiceId) -> int:
        described = self._routes.find_service(service)
        return 1 if described is None else max(described.slots, 1)

    def _get_cache_tokens(self, service: ServiceId) -> int:
        described = self._routes.find_service(service)
        return 0 if described is None else described.cache_tokens

    def _wake(self) -> None:
        for service in self._services.values():
            if service.owner.active:
                service.states.notify()


def _do_nothing() -> None:
    """Do nothing; the default until `set_version_watch` is called."""
