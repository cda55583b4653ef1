"""One process on the platform: the product's parts over its wire."""

import logging
import secrets
from typing import Final

from gevent.event import Event

from guavagate.clock import SystemClock
from guavagate.events import edge as edge_events
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.exceptions import SettingsError
from guavagate.feeds import Feed
from guavagate.forwarding import (
    Attempts,
    Forwarder,
    RewardForwarder,
    StreamForwarder,
)
from guavagate.helpers.mirror import Mirror
from guavagate.http1 import (
    ConnectionPool,
    Exchange,
    HttpServer,
    ServerLimits,
)
from guavagate.integrations.object_api import (
    Caller,
    PeerRoute,
    Rates,
    time_calls,
)
from guavagate.jobs import JobReader, JobShelf, Ownership
from guavagate.links import ZmqBus
from guavagate.membership import Membership
from guavagate.membership.registry import MemberRegistry
from guavagate.metrics import Metrics, names
from guavagate.metrics.exposition import count_events, serve_metrics
from guavagate.models import UpstreamId
from guavagate.platform import const
from guavagate.platform._dialect import PlatformDialect
from guavagate.platform._edge import Edge
from guavagate.platform._manifest import decode_manifest
from guavagate.platform._samplers import PlatformSamplers
from guavagate.platform._servers import decode_server, decode_version
from guavagate.platform._settings import NodeSettings, load_settings
from guavagate.platform._store import PlatformStore, connect_store
from guavagate.ports.store import StoredObject
from guavagate.retirement import Retirement
from guavagate.rollouts import Renewals
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.service import Services

_LOGGER: Final = logging.getLogger(__name__)

# Of the store's rates, what is left covers members that do not know of each
# other yet.
RATE_SHARE: Final = 0.8
PROBE_SECONDS: Final = 0.6
# The balancer asks once a second and takes an instance out after two misses.
BALANCER_SECONDS: Final = 2.6
# Of the grace time; the rest is for the process's end on a slow machine.
STOP_SHARE: Final = 0.875


class PlatformProcess:
    """A running process; which parts it has follows from its settings."""

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
        self._pool = ConnectionPool(self._clock)
        self._route = self._make_route()
        self._store = self._make_store()
        self._routes = RouteTable()
        self._upstreams = UpstreamTable(
            self._clock,
            me.availability_zone,
            is_connected=self._pool.is_connected,
        )
        self._upstreams.subscribe_restarts(
            lambda upstream: self._pool.forget(upstream.address)
        )
        ownership = Ownership(self._members, me.id, self._members.boot)
        shelf = JobShelf(
            self._store, self._clock, f'{me.id}/{secrets.token_hex(4)}'
        )
        self._services = Services(
            me.id,
            self._clock,
            shelf,
            ownership,
            self._routes,
            self._upstreams,
            PlatformSamplers(self._pool),
            RewardForwarder(
                self._clock,
                self._routes,
                self._upstreams,
                self._make_attempts(),
                PlatformDialect(),
            ),
            settings.bounds.lease_ms / const.MILLIS,
            self._metrics,
            settings.bounds.retention_s,
            Renewals(self._bus),
            self._bus,
            settings.data_dir,
        )
        reader = JobReader(
            self._clock, self._bus, shelf, ownership, self._services.find
        )
        self._registry = MemberRegistry(
            self._store, self._clock, self._members, me, settings.bootstrap
        )
        self._me = me.id
        self._feed = self._make_feed()
        self._asked = Event()
        self._stopping = False
        self._servers = self._make_servers(shelf, reader)

    def start(self) -> None:
        """Start every part, the callers' edge last."""
        self._members.start()
        self._bus.start()
        self._route.start()
        self._registry.start()
        self._feed.start()
        if self._settings.data_dir:
            Mirror(
                self._store,
                self._clock,
                const.RETIREMENTS,
                self._put_retirement,
            ).start()
        for server in self._servers:
            server.start()
        self._clock.spawn(self._services.begin, self._registry)
        self._members.subscribe(self._services.refresh)
        self._pool.start_sweeping()

    def ask_to_stop(self) -> None:
        """Begin a planned stop; returns at once."""
        self._asked.set()

    def wait_asked(self) -> None:
        """Block until a planned stop is asked for."""
        self._asked.wait()

    def stop(self) -> None:
        """Stop as planned: cut no request.

        Jobs go to another instance at once; callers are served until the
        balancer has seen that this instance is not ready.
        """
        self._stopping = True
        until = self._clock.now() + self._settings.bounds.grace_s * STOP_SHARE
        self._hand_over()
        for server in self._servers:
            server.announce_stop()
        if self._settings.listen.front:
            self._clock.sleep(BALANCER_SECONDS)
        cut = sum(server.finish(until) for server in self._servers)
        self._members.stop()
        write(_LOGGER, events.READY, ready=False, cut=cut, stopped=True)

    def _make_route(self) -> PeerRoute:
        table = self._settings.platform
        return PeerRoute(
            time_calls(
                connect_store(table.address, ConnectionPool(self._clock)),
                self._metrics,
                self._clock,
            ),
            self._bus,
            self._clock,
            self._members.others,
            const.PROBE_PATH,
            lambda: self._services.active or self._feed.relaying,
        )

    def _make_store(self) -> PlatformStore:
        table = self._settings.platform
        rates = Rates(
            table.reads_per_s * RATE_SHARE,
            table.writes_per_s * RATE_SHARE,
            PROBE_SECONDS,
        )
        caller = Caller(
            self._route.carry,
            self._clock,
            lambda: len(self._members.alive()),
            secrets.SystemRandom(),
            rates,
        )
        return PlatformStore(caller)

    def _make_feed(self) -> Feed:
        feed = Feed(
            self._store,
            self._clock,
            self._bus,
            self._members,
            self._me,
            (const.CONFIG, const.SERVERS),
            (const.SERVERS,),
            self._members.boot,
            first_start=self._settings.bootstrap,
            may_stand_in=lambda: not self._services.active,
        )
        feed.handle(const.CONFIG, self._put_config, None)
        feed.handle(const.SERVERS, self._put_server, self._drop_server)
        versions = Mirror(
            self._store, self._clock, const.VERSIONS, self._put_version
        )
        self._services.follow_versions(versions.start, versions.stop)
        return feed

    def _make_servers(
        self, shelf: JobShelf, reader: JobReader
    ) -> list[HttpServer]:
        listen = self._settings.listen
        address = f'{self._settings.ip}:{const.METRICS_PORT}'
        servers = [
            serve_metrics(
                address, const.METRICS_PATH, self._metrics, self._clock
            )
        ]
        if listen.front:
            edge = Edge(
                self._clock,
                self._routes,
                Forwarder(self._clock, self._upstreams, self._make_attempts()),
                StreamForwarder(
                    self._clock, self._upstreams, self._make_attempts()
                ),
                shelf,
                reader,
                self._feed.wait_loaded,
                self._metrics,
            )
            servers.append(
                HttpServer(
                    listen.front, self._clock, edge.handle, self._get_limits
                )
            )
        if listen.ready:
            servers.append(
                HttpServer(listen.ready, self._clock, self._tell_ready)
            )
        return servers

    def _make_attempts(self) -> Attempts:
        return Attempts(
            self._clock, self._pool, self._upstreams, PlatformDialect()
        )

    def _get_limits(self) -> ServerLimits:
        held = self._routes.configuration
        return ServerLimits() if held is None else held.limits

    def reload(self, path: str) -> None:
        """Read the settings file again.

        Addresses are taken at the start only; the platform restarts a
        process that is to have others.
        """
        try:
            self._settings = load_settings(path)
        except SettingsError as error:
            write(_LOGGER, edge_events.SETTINGS_UNREADABLE, problem=str(error))
        else:
            write(_LOGGER, edge_events.SETTINGS_READ)

    def _tell_ready(self, exchange: Exchange) -> None:
        exchange.read_body(0)
        known = self._routes.configuration is not None and self._feed.loaded
        ready = known and not self._stopping
        self._metrics.set_gauge(names.READY, int(ready))
        self._metrics.set_gauge(names.MEMBERS, len(self._members.alive()))
        exchange.respond(200 if ready else 503, [], b'')

    def _put_config(self, stored: StoredObject) -> None:
        if stored.path == const.CONFIG_PATH:
            self._routes.take(decode_manifest(stored.value))
            self._services.refresh()

    def _put_server(self, stored: StoredObject) -> None:
        name = stored.path.partition('/')[2]
        held = self._upstreams.get(UpstreamId(name))
        upstream = decode_server(name, stored.value)
        self._upstreams.put(upstream)
        if held is not None and held.address != upstream.address:
            self._pool.forget(held.address)

    def _drop_server(self, name: str) -> None:
        held = self._upstreams.get(UpstreamId(name))
        self._upstreams.remove(UpstreamId(name))
        if held is not None:
            self._pool.forget(held.address)

    def _put_version(self, name: str, stored: StoredObject) -> None:
        model, version = decode_version(stored.value)
        self._services.name_version(model, version)

    def _put_retirement(self, name: str, stored: StoredObject) -> None:
        """Hand this machine's work over if it is the one that is named."""
        if name == self._me:
            Retirement(
                self._clock,
                self._hand_over,
                lambda path: self._store.put_status(path, const.RETIRED),
            ).begin(stored.path)

    def _hand_over(self) -> None:
        self._services.leave()
        self._members.start_leaving()
