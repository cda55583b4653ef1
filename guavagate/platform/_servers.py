"""Decodes samplers' registrations into upstreams."""

import ipaddress
from typing import Final, Literal

import msgspec

from guavagate.helpers.numbers import (
    WholeNumber,
    floor_number,
    parse_whole_number,
)
from guavagate.models import ServiceId, UpstreamId, WeightVersion, ZoneId
from guavagate.ports.upstreams import Upstream

_READY: Final = 'ready'
_MAX_PORT: Final = 65_535
# Far beyond any engine's batch size; a larger number is an error.
_MAX_SLOTS: Final = 100_000


class ModelState(msgspec.Struct, frozen=True):
    """A model that a sampler serves, and the version of its weights."""

    name: str
    version: WholeNumber = 1


class _Server(msgspec.Struct, frozen=True, kw_only=True):
    # `seq` is left out: it counts heartbeats here, but orders in a report.
    service: str
    address: str
    zone: str
    slots: int
    state: Literal['ready', 'draining']
    models: list[ModelState] = []
    # Start time in Unix milliseconds by the sampler's own clock.
    born: float = 0
    spot: bool = False
    # Given while it drains.
    leaves_ms: float | None = None
    cold: float | None = msgspec.field(default=None, name='cold-remaining-ms')


class _Version(msgspec.Struct, frozen=True, kw_only=True):
    model: str
    version: WholeNumber


def decode_server(name: str, value: bytes) -> Upstream:
    """Return a registration as an upstream.

    Raises
    ------
    ValueError
        The value is not a valid registration of a sampler.
    """
    server = msgspec.json.decode(value, type=_Server)
    if not _is_address(server.address):
        raise ValueError(f'{server.address!r} is not an IP address with a port')
    if not 0 <= server.slots <= _MAX_SLOTS:
        raise ValueError(f'slots must be 0 to {_MAX_SLOTS}, not {server.slots}')
    return Upstream(
        id=UpstreamId(name),
        service=ServiceId(server.service),
        address=server.address,
        zone=ZoneId(server.zone),
        leaving=server.state != _READY,
        slots=server.slots,
        versions=read_models(server.models),
        incarnation=floor_number(server.born),
        spot=server.spot,
        leaves_in=None if server.leaves_ms is None else server.leaves_ms / 1000,
        cold_for=None if server.cold is None else max(server.cold, 0) / 1000,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < (parse_whole_number(port) or 0) <= _MAX_PORT


def read_models(models: list[ModelState]) -> dict[str, WeightVersion]:
    """Return the weight version of each model."""
    return {each.name: WeightVersion(each.version) for each in models}


def decode_version(value: bytes) -> tuple[str, WeightVersion]:
    """Return the model and version that a trainer has published."""
    published = msgspec.json.decode(value, type=_Version)
    return published.model, WeightVersion(published.version)
