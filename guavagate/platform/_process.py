"""Builds, starts and stops the parts of an instance on the platform."""

import secrets
from typing import Final

from guavagate.admission import EntryMemory, ServiceAdmission
from guavagate.clock import SystemClock
from guavagate.duties import UsageAccounting
from guavagate.feeds import Feed
from guavagate.followed_objects import FollowedObjects, ObjectDecoder
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
from guavagate.lifecycle import Lifecycle, reload
from guavagate.links import ZmqBus
from guavagate.membership import Membership
from guavagate.membership.registry import MemberRegistry
from guavagate.metrics import Metrics
from guavagate.metrics.exposition import count_events, serve_metrics
from guavagate.models import InstanceId
from guavagate.platform import const
from guavagate.platform._dialect import PlatformDialect
from guavagate.platform._duties import PlatformDuties
from guavagate.platform._edge import Edge
from guavagate.platform._jobs import encode_page
from guavagate.platform._manifest import decode_manifest
from guavagate.platform._samplers import PlatformSamplers
from guavagate.platform._servers import decode_server, decode_version
from guavagate.platform._settings import NodeSettings, load_settings
from guavagate.platform._store import PlatformStore
from guavagate.quarantine import STOPPED_REQUESTS, make_quarantine
from guavagate.retirement import Retirement
from guavagate.rollouts import Renewals
from guavagate.routing import EligibleSamplers, RouteTable
from guavagate.service import JobServices

_DECODER: Final = ObjectDecoder(
    configuration_path=const.CONFIG_PATH,
    decode_configuration=decode_manifest,
    decode_upstream=decode_server,
    decode_version=decode_version,
)


class PlatformProcess:
    """An instance's process, with the parts that its settings call for."""

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        me = settings.to_instance()
        self._metrics = Metrics(
            {'instance': me.id, 'availability_zone': me.availability_zone}
        )
        count_events(self._metrics)
        self._members = Membership(me, self._clock)
        self._bus = ZmqBus(
            me.id, me.peer_address, self._members.address, self._clock
        )
        self._memory = EntryMemory(self._metrics, settings.limits.memory_mb)
        self._pool = ConnectionPool(self._clock, self._memory.budget.change)
        self._store = self._make_store()
        self._routes = RouteTable()
        self._upstreams = make_upstream_table(
            self._clock, me.availability_zone, self._pool, self._members
        )
        clock, bus, metrics = self._clock, self._bus, self._metrics
        members, routes = self._members, self._routes
        pool, store, upstreams = self._pool, self._store, self._upstreams
        quarantine = make_quarantine(
            clock, bus, store, me.id, self._order_relays, upstreams.get
        )
        self._quarantine = quarantine
        dialect = PlatformDialect()
        fleet = Fleet(bus, me.id, self._order_relays)
        self._forwarders = make_fleet_forwarders(
            clock, pool, routes, upstreams, dialect, quarantine, metrics, fleet
        )
        ownership = Ownership(self._members, me.id, self._members.boot)
        self._ownership = ownership
        self._instance_id = me.id
        self._admission = ServiceAdmission(
            clock, bus, members, me.id, routes, upstreams, metrics
        )
        self._renewals = Renewals(self._bus)
        self._duties = PlatformDuties(settings.cloud_api.address, self._pool)
        writer = f'{me.id}/{secrets.token_hex(4)}'
        spare = store.client.has_spare_writes
        job_store = JobStore(store, clock, writer, spare)
        self._services = JobServices(
            me.id,
            clock,
            job_store,
            ownership,
            routes,
            upstreams,
            EligibleSamplers(PlatformSamplers(pool), upstreams),
            self._forwarders.rewards,
            quarantine,
            settings.bounds.lease_ms / const.MILLIS,
            metrics,
            settings.bounds.retention_s,
            self._renewals,
            bus,
            settings.data_dir,
            settings.limits.link_mbps * const.BYTES_PER_MEGABIT,
            self._duties
            if const.SCALE_DUTY in settings.cloud_api.duties
            else None,
        )
        find, budget = self._services.find, self._memory.budget
        reader = JobReader(clock, bus, job_store, ownership, find, budget)
        self._registry = MemberRegistry(
            store, clock, members, me, settings.bootstrap
        )
        self._usage = self._make_usage()
        self._feed = self._make_feed()
        ready, grace = self._is_ready, settings.bounds.grace_s
        self.lifecycle = Lifecycle(
            clock, metrics, members, ready, self._hand_over, grace
        )
        watch_instance(metrics, self._feed.proof, quarantine, members, bus)
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
        if self._settings.data_dir:
            Retirement(
                self._clock,
                self._store,
                const.RETIREMENTS,
                self._instance_id,
                self._hand_over,
                lambda path: self._store.put_status(path, const.RETIRED),
            ).start()
        for server in self._servers:
            server.start()
        self._clock.spawn(self._services.take_ownership, self._registry)
        self._members.subscribe(self._services.refresh)
        self._quarantine.start()
        self._usage.start()
        self._pool.start_sweeping()
        self._forwarders.start()

    def stop(self) -> None:
        """Stop without interrupting requests."""
        behind_balancer = bool(self._settings.listen.front)
        self.lifecycle.stop(self._servers, behind_balancer=behind_balancer)

    def _make_store(self) -> PlatformStore:
        table = self._settings.platform
        self._peer_fallback, client = make_fleet_client(
            table.address,
            self._clock,
            self._bus,
            self._metrics,
            self._members,
            const.PROBE_PATH,
            lambda: self._services.active or self._feed.relaying,
            reads=table.reads_per_s,
            writes=table.writes_per_s,
            has_edge=bool(self._settings.listen.front),
        )
        return PlatformStore(client)

    def _make_feed(self) -> Feed:
        feed = Feed(
            self._store,
            self._clock,
            self._bus,
            self._members,
            self._instance_id,
            (const.CONFIG, const.SERVERS, STOPPED_REQUESTS),
            (const.SERVERS,),
            self._members.boot,
            later=(STOPPED_REQUESTS,),
            first_start=self._settings.bootstrap,
            proof_prefix=const.CONFIG,
            proof_path=self._settings.bounds.get_proof_path(),
            may_be_standby=lambda: not self._services.active,
        )
        objects = FollowedObjects(
            self._routes, self._upstreams, self._services, feed, _DECODER
        )
        objects.register(const.SERVERS, self._quarantine)
        versions = Mirror(
            self._store, self._clock, const.VERSIONS, objects.put_version
        )
        self._services.set_version_watch(versions.start, versions.stop)
        return feed

    def _make_servers(self, reader: JobReader) -> list[HttpServer]:
        listen, clock = self._settings.listen, self._clock
        metrics = self._metrics
        address = f'{self._settings.ip}:{const.METRICS_PORT}'
        servers = [serve_metrics(address, const.METRICS_PATH, metrics, clock)]
        if listen.front:
            edge = self._make_edge(reader)
            servers.append(edge.serve(listen.front))
        if listen.ready:
            answer = self.lifecycle.answer_readiness
            servers.append(HttpServer(listen.ready, clock, answer))
        return servers

    def _make_edge(self, reader: JobReader) -> Edge:
        clock, routes, metrics = self._clock, self._routes, self._metrics
        bounds = self._settings.bounds
        intake = self._services.intake
        return Edge(
            clock,
            routes,
            KeyAuthenticator(
                routes, metrics, self._feed.proof.age, bounds.to_proof_bounds()
            ),
            RequestHandler(
                clock,
                self._forwarders.unary,
                self._forwarders.streams,
                metrics,
                self._usage.record,
                self._admission,
            ),
            JobHandler(clock, routes, intake, reader, metrics, encode_page),
            BodyReader(routes, self._feed.wait_loaded, self._memory),
        )

    def _make_usage(self) -> UsageAccounting:
        bounds = self._settings.bounds
        return UsageAccounting(
            self._instance_id,
            self._clock,
            self._bus,
            self._store,
            self._duties,
            self._members,
            self._ownership,
            self._renewals,
            bounds.usage_window_s,
            bounds.lease_ms / const.MILLIS,
            enabled=const.USAGE_DUTY in self._settings.cloud_api.duties,
            serves_callers=bool(self._settings.listen.front),
        )

    def reload(self, path: str) -> None:
        """Read the settings again; parts that are built keep the old ones."""
        self._settings = reload(load_settings, path, self._settings)

    def _order_relays(self) -> list[InstanceId]:
        return self._feed.order_relays()

    def _is_ready(self) -> bool:
        return self._routes.configuration is not None and self._feed.loaded

    def _hand_over(self) -> None:
        self._services.leave()
        self._members.start_leaving()
