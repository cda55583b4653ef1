"""The parts of an instance, and the order in which they start and stop."""

import secrets

from guavagate.admission import EntryMemory, ServiceAdmission
from guavagate.clock import SystemClock
from guavagate.duties import UsageAccounting
from guavagate.evacuation import make_evacuations
from guavagate.feeds import Feed
from guavagate.fleet_instance._adapter import EdgeHandlers, PlatformAdapter
from guavagate.fleet_instance._options import InstanceOptions
from guavagate.followed_objects import FollowedObjects
from guavagate.forwarding import (
    Fleet,
    make_fleet_forwarders,
    make_upstream_table,
)
from guavagate.front import (
    BodyReader,
    JobHandler,
    KeyAuthenticator,
    RequestHandler,
)
from guavagate.helpers.mirror import Mirror
from guavagate.http1 import ConnectionPool, HttpServer
from guavagate.instance_gauges import watch_instance
from guavagate.integrations.object_api.fleet_client import make_fleet_client
from guavagate.jobs import JobReader, JobStore, Ownership
from guavagate.lifecycle import Lifecycle
from guavagate.links import ZmqBus
from guavagate.membership import Membership
from guavagate.membership.registry import MemberRegistry
from guavagate.metrics import Metrics
from guavagate.metrics.exposition import count_events, serve_metrics
from guavagate.models import InstanceId, UpstreamId
from guavagate.quarantine import STOPPED_REQUESTS, make_quarantine
from guavagate.residency import Residency
from guavagate.retirement import Retirement
from guavagate.rollouts import Renewals
from guavagate.routing import EligibleSamplers, RouteTable
from guavagate.service import JobServices
from guavagate.warmup import limit_starts
from guavagate.zone_view import ZoneView, watch_zones


class FleetInstance:
    """An instance, with the parts that its options call for."""

    def __init__(
        self, options: InstanceOptions, adapter: PlatformAdapter
    ) -> None:
        self._options = options
        self._adapter = adapter
        self._clock = SystemClock()
        me = options.me
        self._metrics = Metrics(
            {'instance': me.id, 'availability_zone': me.availability_zone}
        )
        count_events(self._metrics)
        self._members = Membership(me, self._clock)
        self._bus = ZmqBus(
            me.id, me.peer_address, self._members.address, self._clock
        )
        self._memory = EntryMemory(
            self._metrics,
            self._clock,
            options.limits.memory_mb,
            options.limits.max_fds,
        )
        self._pool = ConnectionPool(
            self._clock,
            self._memory.budget.change,
            self._memory.connections.make_room_for_answers,
            self._memory.compute_reading_limit(),
        )
        self._peer_fallback, store_client = make_fleet_client(
            options.store.address,
            self._clock,
            self._bus,
            self._metrics,
            self._members,
            adapter.paths.probe,
            lambda: self._services.active or self._feed.relaying,
            reads=options.store.reads_per_s,
            writes=options.store.writes_per_s,
            has_edge=bool(options.listen.front),
            may_relay=lambda peer, path: self._residency.may_relay(peer, path),
        )
        self._store = adapter.make_store(store_client)
        self._routes = RouteTable()
        self._upstreams = make_upstream_table(
            self._clock,
            me.availability_zone,
            self._pool,
            options.zones,
            self._members,
        )
        self._evacuations = make_evacuations(
            self._clock,
            self._upstreams,
            self._pool,
            self._metrics,
            self._members,
        )
        clock, bus, metrics = self._clock, self._bus, self._metrics
        members, routes = self._members, self._routes
        pool, store, upstreams = self._pool, self._store, self._upstreams
        residency = Residency(routes, upstreams, members, me.id, metrics)
        self._residency = residency.jobs
        quarantine = make_quarantine(
            clock, bus, store, me.id, self._order_relays, upstreams.get
        )
        self._quarantine = quarantine
        ownership = Ownership(
            members, me.id, members.boot, self._residency.find_home_regions
        )
        self._ownership = ownership
        budgets = limit_starts(
            clock,
            bus,
            members,
            ownership,
            routes,
            upstreams,
            metrics,
            options.warmup_bound,
        )
        fleet = Fleet(bus, me.id, self._order_relays)
        self._forwarders = make_fleet_forwarders(
            clock,
            pool,
            routes,
            upstreams,
            adapter.dialect,
            quarantine,
            metrics,
            fleet,
            residency.requests,
        )
        self._instance_id = me.id
        self._admission = ServiceAdmission(
            clock, bus, members, me.id, routes, upstreams, metrics
        )
        self._renewals = Renewals(self._bus)
        self._duties = adapter.make_duties(self._pool)
        writer = f'{me.id}/{secrets.token_hex(4)}'
        spare = store_client.has_spare_writes
        job_store = JobStore(
            store, clock, writer, spare, options.store.value_bytes
        )
        self._services = JobServices(
            me.id,
            clock,
            job_store,
            ownership,
            routes,
            upstreams,
            EligibleSamplers(adapter.make_samplers(pool), upstreams),
            self._forwarders.rewards,
            quarantine,
            options.lease_s,
            metrics,
            options.retention_s,
            self._renewals,
            bus,
            options.data_dir,
            options.limits.link_bytes_per_s,
            self._duties if options.duties.scales else None,
            budgets=budgets,
            bounds=self._residency,
        )
        find, budget = self._services.find, self._memory.budget
        reader = JobReader(
            clock, bus, job_store, ownership, find, self._residency, budget
        )
        routes.subscribe(reader.drop_outside)
        self._registry = MemberRegistry(
            store, clock, members, me, options.bootstrap
        )
        self._usage = self._make_usage()
        self._feed = self._make_feed()
        self.lifecycle = Lifecycle(
            clock,
            metrics,
            members,
            self._is_ready,
            self._hand_over,
            options.grace_s,
        )
        watch_instance(metrics, self._feed.proof, quarantine, members, bus)
        self._zones = ZoneView(
            upstreams.eligibility,
            upstreams.registered,
            lambda: [each.availability_zone for each in members.alive()],
            self._count_running,
            lambda upstream: budgets.is_cold(upstream, clock.now()),
        )
        self._servers = self._make_servers(reader)
        self.request_stop = self.lifecycle.request_stop
        self.wait_stop_requested = self.lifecycle.wait_stop_requested

    def start(self) -> None:
        """Start every part; HTTP servers follow the feed and registry."""
        self._members.start()
        self._bus.start()
        self._peer_fallback.start()
        self._registry.start()
        self._feed.start()
        if self._options.data_dir:
            self._make_retirement().start()
        for server in self._servers:
            server.start()
        self._clock.spawn(self._services.take_ownership, self._registry)
        self._members.subscribe(self._services.refresh)
        self._quarantine.start()
        self._usage.start()
        self._pool.start_sweeping()
        self._forwarders.start()
        watch_zones(self._metrics, self._clock, self._zones)

    def stop(self) -> None:
        """Stop without interrupting requests."""
        behind_balancer = bool(self._options.listen.front)
        self.lifecycle.stop(self._servers, behind_balancer=behind_balancer)

    def _make_retirement(self) -> Retirement:
        retired = self._adapter.retired
        return Retirement(
            self._clock,
            self._store,
            self._adapter.paths.retirements,
            self._instance_id,
            self._hand_over,
            lambda path: self._store.put_status(path, retired),
        )

    def _make_feed(self) -> Feed:
        paths = self._adapter.paths
        follows = self._options.follows_evacuations
        evacuations = (paths.evacuations,) if follows else ()
        feed = Feed(
            self._store,
            self._clock,
            self._bus,
            self._members,
            self._instance_id,
            (
                paths.configuration,
                paths.upstreams,
                STOPPED_REQUESTS,
                *evacuations,
            ),
            (paths.upstreams,),
            self._members.boot,
            later=(STOPPED_REQUESTS, *evacuations),
            urgent=evacuations,
            first_start=self._options.bootstrap,
            proof_prefix=paths.configuration,
            proof_path=self._options.proof_path,
            may_be_standby=lambda: not self._services.active,
        )
        objects = FollowedObjects(
            self._routes,
            self._upstreams,
            self._services,
            feed,
            self._adapter.decoder,
        )
        objects.register(paths.upstreams, self._quarantine)
        self._evacuations.follow(feed, evacuations)
        versions = Mirror(
            self._store, self._clock, paths.versions, objects.put_version
        )
        self._services.set_version_watch(versions.start, versions.stop)
        return feed

    def _make_servers(self, reader: JobReader) -> list[HttpServer]:
        listen, clock = self._options.listen, self._clock
        path = self._adapter.metrics_path
        operators = self._memory.operators
        servers = [
            serve_metrics(listen.metrics, path, self._metrics, clock, operators)
        ]
        if listen.front:
            handlers = self._make_handlers(reader)
            servers.append(self._adapter.make_edge(handlers, listen.front))
        if listen.ready:
            answer = self.lifecycle.answer_readiness
            servers.append(
                HttpServer(listen.ready, clock, answer, memory=operators)
            )
        return servers

    def _make_handlers(self, reader: JobReader) -> EdgeHandlers:
        clock, routes, metrics = self._clock, self._routes, self._metrics
        return EdgeHandlers(
            clock=clock,
            routes=routes,
            authenticator=KeyAuthenticator(
                routes,
                metrics,
                self._feed.proof.age,
                self._options.proof_bounds,
            ),
            requests=RequestHandler(
                clock,
                self._forwarders.unary,
                self._forwarders.streams,
                metrics,
                self._usage.record,
                self._admission,
            ),
            jobs=JobHandler(
                clock,
                routes,
                self._services.intake,
                reader,
                metrics,
                self._adapter.encode_page,
            ),
            bodies=BodyReader(routes, self._feed.wait_loaded, self._memory),
        )

    def _make_usage(self) -> UsageAccounting:
        duties = self._options.duties
        return UsageAccounting(
            self._instance_id,
            self._clock,
            self._bus,
            self._store,
            self._duties,
            self._members,
            self._ownership,
            self._renewals,
            duties.usage_window_s,
            self._options.lease_s,
            enabled=duties.reports_usage,
            serves_callers=bool(self._options.listen.front),
        )

    def _order_relays(self) -> list[InstanceId]:
        return self._feed.order_relays()

    def _count_running(self, upstream: UpstreamId) -> int:
        load = self._upstreams.load(upstream)
        return load.in_flight + self._services.count_items(upstream)

    def _is_ready(self) -> bool:
        if self._members.superseded():
            return False
        return self._routes.configuration is not None and self._feed.loaded

    def _hand_over(self) -> None:
        self._services.leave()
        self._members.start_leaving()
