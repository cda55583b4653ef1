"""An instance's process on the platform, built from its settings file."""

from typing import Final

from guavagate.fleet_instance import (
    EdgeHandlers,
    FleetInstance,
    ObjectPaths,
    PlatformAdapter,
)
from guavagate.followed_objects import ObjectDecoder
from guavagate.http1 import ConnectionPool, HttpServer
from guavagate.lifecycle import reload
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

_PATHS: Final = ObjectPaths(
    configuration=const.CONFIG,
    upstreams=const.SERVERS,
    versions=const.VERSIONS,
    retirements=const.RETIREMENTS,
    evacuations=const.EVACUATIONS,
    probe=const.PROBE_PATH,
)
_DECODER: Final = ObjectDecoder(
    configuration_path=const.CONFIG_PATH,
    decode_configuration=decode_manifest,
    decode_upstream=decode_server,
    decode_version=decode_version,
)


class PlatformProcess(FleetInstance):
    """An instance's process, with the parts that its settings call for."""

    def __init__(self, settings: NodeSettings) -> None:
        super().__init__(settings.to_options(), _make_adapter(settings))
        self._settings = settings

    def reload(self, path: str) -> None:
        """Read the settings again; parts that are built keep the old ones."""
        self._settings = reload(load_settings, path, self._settings)


def _make_adapter(settings: NodeSettings) -> PlatformAdapter:
    def make_duties(pool: ConnectionPool) -> PlatformDuties:
        return PlatformDuties(settings.cloud_api.address, pool)

    return PlatformAdapter(
        paths=_PATHS,
        decoder=_DECODER,
        dialect=PlatformDialect(),
        encode_page=encode_page,
        metrics_path=const.METRICS_PATH,
        retired=const.RETIRED,
        make_store=PlatformStore,
        make_samplers=PlatformSamplers,
        make_duties=make_duties,
        make_edge=_make_edge,
    )


def _make_edge(handlers: EdgeHandlers, address: str) -> HttpServer:
    return Edge(
        handlers.clock,
        handlers.routes,
        handlers.authenticator,
        handlers.requests,
        handlers.jobs,
        handlers.bodies,
    ).serve(address)
