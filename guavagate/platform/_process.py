"""Builds, starts and stops the parts of an instance on the platform."""

import logging
import secrets
from typing import Final

from guavagate.admission import EntryMemory, ServiceAdmission
from guavagate.clock import SystemClock
from guavagate.duties import UsageAccounting
from guavagate.events import edge as edge_events
from guavagate.events import write
from guavagate.exceptions import SettingsError
from guavagate.feeds import Feed
from guavagate.front import (
    BodyReader,
    JobHandler,
    KeyAuthenticator,
    RequestHandler,
)
from guavagate.helpers.mirror import Mirror
from guavagate.http1 import ConnectionPool, HttpServer
from guavagate.integrations.object_api.fleet_client import make_fleet_client
from guavagate.jobs import JobReader, JobStore, Ownership
from guavagate.lifecycle import Lifecycle
from guavagate.links import ZmqBus
from guavagate.membership import Membership
from guavagate.membership.registry import MemberRegistry
from guavagate.metrics import Metrics, names
from guavagate.metrics.exposition import count_events, serve_metrics
from guavagate.models import UpstreamId
from guavagate.platform import const
from guavagate.platform._duties import PlatformDuties
from guavagate.platform._edge import Edge
from guavagate.platform._forwarding import make_platform_forwarders
from guavagate.platform._jobs import encode_page
from guavagate.platform._manifest import decode_manifest
from guavagate.platform._samplers import PlatformSamplers
from guavagate.platform._servers import decode_server, decode_version
from guavagate.platform._settings import NodeSettings, load_settings
from guavagate.platform._store import PlatformStore
from guavagate.ports.store import StoredObject
from guavagate.quarantine import STOPPED_REQUESTS, make_quarantine
from guavagate.retirement import Retirement
from guavagate.rollouts import Renewals
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.service import JobServices

_LOGGER: Final = logging.getLogger(__name__)

# Value of the metric while the configuration is not proven.
NO_PROOF_SECONDS: Final = 1e6


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
        self._upstreams = UpstreamTable(
            self._clock,
            me.availability_zone,
            is_connected=self._pool.has_idle_connection,
        )
        self._upstreams.subscribe_address_released(self._pool.close_idle)
        self._upstreams.subscribe_restarts(
            lambda upstream: self._pool.close_idle(upstream.address)
        )
        self._quarantine = make_quarantine(
            self._clock,
            self._bus,
            self._store,
            me.id,
            lambda: self._feed.order_relays(),
            self._upstreams.get,
        )
        self._forwarders = make_platform_forwarders(
            self._clock,
            self._pool,
            self._routes,
            self._upstreams,
            self._quarantine,
            self._metrics,
            self._bus,
            me.id,
            lambda: self._feed.order_relays(),
        )
        ownership = Ownership(self._members, me.id, self._members.boot)
        self._ownership = ownership
        self._instance_id = me.id
        self._admission = ServiceAdmission(
            self._clock,
            self._bus,
            self._members,
            me.id,
            self._routes,
            self._upstreams,
            self._metrics,
        )
        self._renewals = Renewals(self._bus)
        self._duties = PlatformDuties(settings.cloud_api.address, self._pool)
        writer = f'{me.id}/{secrets.token_hex(4)}'
        spare = self._store.client.has_spare_writes
        job_store = JobStore(self._store, self._clock, writer, spare)
        self._services = JobServices(
            me.id,
            self._clock,
            job_store,
            ownership,
            self._routes,
            self._upstreams,
            PlatformSamplers(self._pool),
            self._forwarders.rewards,
            self._quarantine,
            settings.bounds.lease_ms / const.MILLIS,
            self._metrics,
            settings.bounds.retention_s,
            self._renewals,
            self._bus,
            settings.data_dir,
            settings.limits.link_mbps * const.BYTES_PER_MEGABIT,
            self._duties
            if const.SCALE_DUTY in settings.cloud_api.duties
            else None,
        )
        reader = JobReader(
            self._clock, self._bus, job_store, ownership, self._services.find
        )
        self._registry = MemberRegistry(
            self._store, self._clock, self._members, me, settings.bootstrap
        )
        self._usage = self._make_usage()
        self._feed = self._make_feed()
        self.lifecycle = Lifecycle(
            self._clock,
            self._metrics,
            self._members,
            self._is_ready,
            self._hand_over,
            settings.bounds.grace_s,
        )
        self._metrics.add_refresher(self._refresh_gauges)
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
        feed.register_handlers(const.CONFIG, self._put_config, None)
        feed.register_handlers(
            const.SERVERS, self._put_server, self._remove_server
        )
        feed.register_handlers(
            STOPPED_REQUESTS, self._quarantine.put, self._quarantine.remove
        )
        versions = Mirror(
            self._store, self._clock, const.VERSIONS, self._put_version
        )
        self._services.set_version_watch(versions.start, versions.stop)
        return feed

    def _make_servers(self, reader: JobReader) -> list[HttpServer]:
        listen = self._settings.listen
        address = f'{self._settings.ip}:{const.METRICS_PORT}'
        servers = [
            serve_metrics(
                address, const.METRICS_PATH, self._metrics, self._clock
            )
        ]
        if listen.front:
            edge = self._make_edge(reader)
            servers.append(edge.serve(listen.front))
        if listen.ready:
            servers.append(
                HttpServer(
                    listen.ready, self._clock, self.lifecycle.answer_readiness
                )
            )
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
        try:
            self._settings = load_settings(path)
        except SettingsError as error:
            write(_LOGGER, edge_events.SETTINGS_UNREADABLE, problem=str(error))
        else:
            write(_LOGGER, edge_events.SETTINGS_RELOADED)

    def _is_ready(self) -> bool:
        return self._routes.configuration is not None and self._feed.loaded

    def _refresh_gauges(self) -> None:
        age = min(self._feed.proof.age(), NO_PROOF_SECONDS)
        self._metrics.set_gauge(names.PROOF_AGE_SECONDS, age)
        self._metrics.set_gauge(names.STOPPED_REQUESTS, self._quarantine.size)
        self._metrics.set_gauge(names.MEMBERS, len(self._members.alive()))

    def _put_config(self, stored: StoredObject) -> None:
        if stored.path != const.CONFIG_PATH:
            return
        # If decoding fails, the older configuration stays in force, unproven.
        self._feed.proof.invalidate()
        self._routes.apply(decode_manifest(stored.value))
        self._feed.proof.restore()
        self._services.refresh()

    def _put_server(self, stored: StoredObject) -> None:
        name = stored.path.partition('/')[2]
        self._upstreams.put(decode_server(name, stored.value))

    def _remove_server(self, name: str) -> None:
        self._upstreams.remove(UpstreamId(name))

    def _put_version(self, name: str, stored: StoredObject) -> None:
        model, version = decode_version(stored.value)
        self._services.record_published_version(model, version)

    def _hand_over(self) -> None:
        self._services.leave()
        self._members.start_leaving()
