"""Reads the settings file that the platform writes for a process."""

from typing import Any

import msgspec

from guavagate.auth import ProofBounds, make_bounds
from guavagate.exceptions import SettingsError
from guavagate.fleet_instance import (
    DutyOptions,
    InstanceOptions,
    LimitOptions,
    ListenOptions,
    StoreOptions,
)
from guavagate.helpers.decoding import decode_toml
from guavagate.models import InstanceId, RegionId, ZoneId
from guavagate.platform import const
from guavagate.settings import InstanceSettings, PlatformSettings
from guavagate.warmup import WarmupBound


class _Table(msgspec.Struct, frozen=True, kw_only=True, rename='kebab'):
    """Base of the tables: names with hyphens; unknown ones are ignored."""


class ListenTable(_Table, frozen=True, kw_only=True):
    """Addresses to listen on; empty where the process has no such role."""

    front: str = ''
    ready: str = ''


class BoundsTable(_Table, frozen=True, kw_only=True):
    """Time limits that operators guarantee, or that instances must meet."""

    grace_s: float = 8.0
    lease_ms: float = 3000
    thaw_slack_ms: float = 300
    retention_s: float = 120
    drain_ms: float = 2000
    config_apply_ms: float = 2000
    strict_revoke: bool = False
    revoke_ms: float = 5000
    usage_window_s: float = 5
    cold_excess: float = 1
    cold_slack: float = 0
    evacuate_ms: float = 0

    def get_proof_path(self) -> str:
        """Return the object that must be proven current, or ''."""
        return const.CONFIG_PATH if self.strict_revoke else ''

    def to_proof_bounds(self) -> ProofBounds:
        """Return how recently the configuration must be proven current."""
        return make_bounds(
            self.config_apply_ms / const.MILLIS,
            self.revoke_ms / const.MILLIS,
            strict=self.strict_revoke,
        )


class LimitsTable(_Table, frozen=True, kw_only=True):
    """Limits of the machine and of the process; 0 where unknown.

    The process is killed beyond `memory_mb`.
    """

    link_mbps: float = 0
    memory_mb: float = 0
    max_fds: int = 0


class StoreTable(_Table, frozen=True, kw_only=True):
    """The platform's store, with rate limits for all instances together."""

    address: str
    writes_per_s: float = 400
    reads_per_s: float = 2000
    value_bytes: int = 1_048_576


class DutiesTable(_Table, frozen=True, kw_only=True):
    """The calls to the platform that one instance makes for all."""

    address: str = ''
    duties: list[str] = []
    duty_per_s: float = 50


class NodeSettings(_Table, frozen=True, kw_only=True):
    """The settings of one process."""

    node_name: str
    ip: str
    zone: str
    region: str
    port_range: tuple[int, int]
    serves: list[str] = []
    bootstrap: bool = False
    data_dir: str = ''
    zones: dict[str, Any] = {}
    listen: ListenTable = ListenTable()
    bounds: BoundsTable = BoundsTable()
    limits: LimitsTable = LimitsTable()
    platform: StoreTable
    cloud_api: DutiesTable = DutiesTable()

    def to_instance(self) -> InstanceSettings:
        """Return these settings as instance settings."""
        return InstanceSettings(
            id=InstanceId(self.node_name),
            availability_zone=ZoneId(self.zone),
            region=RegionId(self.region),
            http_address=self.listen.front,
            peer_address=f'{self.ip}:{self.port_range[0]}',
            platform=PlatformSettings(
                object_api=f'http://{self.platform.address}'
            ),
            log_format='json',
        )

    def to_options(self) -> InstanceOptions:
        """Return what an instance is built with."""
        bounds, duties = self.bounds, self.cloud_api.duties
        return InstanceOptions(
            me=self.to_instance(),
            bootstrap=self.bootstrap,
            data_dir=self.data_dir,
            zones=self.zones,
            listen=ListenOptions(
                front=self.listen.front,
                ready=self.listen.ready,
                metrics=f'{self.ip}:{const.METRICS_PORT}',
            ),
            store=StoreOptions(
                address=self.platform.address,
                reads_per_s=self.platform.reads_per_s,
                writes_per_s=self.platform.writes_per_s,
                value_bytes=self.platform.value_bytes,
            ),
            limits=LimitOptions(
                memory_mb=self.limits.memory_mb,
                max_fds=self.limits.max_fds,
                link_bytes_per_s=self.limits.link_mbps
                * const.BYTES_PER_MEGABIT,
            ),
            duties=DutyOptions(
                reports_usage=const.USAGE_DUTY in duties,
                scales=const.SCALE_DUTY in duties,
                usage_window_s=bounds.usage_window_s,
            ),
            lease_s=bounds.lease_ms / const.MILLIS,
            grace_s=bounds.grace_s,
            retention_s=bounds.retention_s,
            proof_path=bounds.get_proof_path(),
            proof_bounds=bounds.to_proof_bounds(),
            follows_evacuations=bounds.evacuate_ms > 0,
            warmup_bound=WarmupBound(bounds.cold_excess, bounds.cold_slack),
        )


def load_settings(path: str) -> NodeSettings:
    """Return the settings in a file.

    Raises
    ------
    SettingsError
        The file cannot be read or lacks a field; the message names it.
    """
    try:
        with open(path, 'rb') as file:
            return decode_toml(file.read(), NodeSettings)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError(
            f'the settings file {path} cannot be used ({error})',
            'correct it; the platform writes it at each start',
        ) from error
