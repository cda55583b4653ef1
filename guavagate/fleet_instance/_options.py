"""The values of an instance's settings that its parts use."""

from collections.abc import Mapping

import msgspec

from guavagate.auth import ProofBounds
from guavagate.settings import InstanceSettings
from guavagate.warmup import WarmupBound


class ListenOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses to listen on; empty where the instance has no such role."""

    front: str
    ready: str
    metrics: str


class StoreOptions(msgspec.Struct, frozen=True, kw_only=True):
    """The store, with rates per second for all instances together."""

    address: str
    reads_per_s: float
    writes_per_s: float
    value_bytes: int


class LimitOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the machine; 0 where unknown."""

    memory_mb: float
    max_fds: int
    link_bytes_per_s: float


class DutyOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Which calls to the platform one instance makes for all."""

    reports_usage: bool
    scales: bool
    usage_window_s: float


class InstanceOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance is built with.

    Attributes
    ----------
    bootstrap
        Whether the whole fleet starts for the first time.
    data_dir
        Folder of the instance's own disk; empty if it has none.
    zones
        The name of each zone's region.
    lease_s
        Seconds for which a lease is valid after its renewal.
    grace_s
        Seconds between a stop request and the kill.
    retention_s
        Seconds for which results of an ended job can be read.
    proof_path
        The object that must be proven current, or ''.
    follows_evacuations
        Whether zones are evacuated in this deployment.
    warmup_bound
        The bound on requests to cold upstreams.
    """

    me: InstanceSettings
    bootstrap: bool
    data_dir: str
    zones: Mapping[str, object]
    listen: ListenOptions
    store: StoreOptions
    limits: LimitOptions
    duties: DutyOptions
    lease_s: float
    grace_s: float
    retention_s: float
    proof_path: str
    proof_bounds: ProofBounds
    follows_evacuations: bool = False
    warmup_bound: WarmupBound = WarmupBound()
