"""Samplers' registrations, decoded into the product's upstreams."""

import ipaddress
from typing import Final

import msgspec

from guavagate.models import ServiceId, UpstreamId, WeightVersion, ZoneId
from guavagate.ports.upstreams import Upstream

_READY: Final = 'ready'
_MOST_PORT: Final = 65_535
# Far beyond any engine's batch; more is no number of places.
_MOST_SLOTS: Final = 100_000
_STATES: Final = frozenset((_READY, 'draining'))


class ModelState(msgspec.Struct, frozen=True):
    """A model that a sampler holds, under which version of its weights."""

    name: str
    version: int = 1


class _Server(msgspec.Struct, frozen=True, kw_only=True):
    # `seq` is left out: it counts heartbeats here, but orders in a report.
    service: str
    address: str
    zone: str
    slots: int
    state: str
    models: list[ModelState] = []
    # Of its start, in Unix milliseconds by its own clock.
    born: float = 0
    spot: bool = False


class _Version(msgspec.Struct, frozen=True, kw_only=True):
    model: str
    version: int


def decode_server(name: str, value: bytes) -> Upstream:
    """Return a registration as an upstream.

    Raises
    ------
    ValueError
        It is none, whoever wrote it, and names no sampler.
    """
    server = msgspec.json.decode(value, type=_Server)
    if server.state not in _STATES:
        raise ValueError(f'the state {server.state!r} is not known')
    if not _is_address(server.address):
        raise ValueError(f'{server.address!r} is no IP address with a port')
    if not 0 <= server.slots <= _MOST_SLOTS:
        raise ValueError(f'{server.slots} slots are none')
    return Upstream(
        id=UpstreamId(name),
        service=ServiceId(server.service),
        address=server.address,
        zone=ZoneId(server.zone),
        leaving=server.state != _READY,
        slots=server.slots,
        versions=read_models(server.models),
        incarnation=int(server.born),
        spot=server.spot,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
        return 0 < int(port.encode('ascii')) <= _MOST_PORT
    except ValueError:
        return False


def read_models(models: list[ModelState]) -> dict[str, WeightVersion]:
    """Return versions by model."""
    return {each.name: WeightVersion(each.version) for each in models}


def decode_version(value: bytes) -> tuple[str, WeightVersion]:
    """Return the model and version that a trainer has named."""
    named = msgspec.json.decode(value, type=_Version)
    return named.model, WeightVersion(named.version)
