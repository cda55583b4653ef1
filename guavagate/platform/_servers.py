"""Decodes samplers' registrations into upstreams."""

from typing import Annotated, Final, Literal

import msgspec

from guavagate.helpers.addresses import require_ip_address
from guavagate.helpers.decoding import decode_json
from guavagate.helpers.numbers import WholeNumber, floor_number
from guavagate.models import ServiceId, UpstreamId, WeightVersion, ZoneId
from guavagate.ports.upstreams import Upstream

_READY: Final = 'ready'
# Far beyond any engine's batch size; a larger number is an error.
_MAX_SLOTS: Final = 100_000
# Far longer than any sampler takes to start or to leave.
_Millis = Annotated[float, msgspec.Meta(ge=-1e9, le=1e9)]


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
    leaves_ms: _Millis | None = None
    cold: _Millis | None = msgspec.field(default=None, name='cold-remaining-ms')


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
    server = decode_json(value, _Server)
    require_ip_address(server.address)
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


def read_models(models: list[ModelState]) -> dict[str, WeightVersion]:
    """Return the weight version of each model."""
    return {each.name: WeightVersion(each.version) for each in models}


def decode_version(value: bytes) -> tuple[str, WeightVersion]:
    """Return the model and version that a trainer has published."""
    published = decode_json(value, _Version)
    return published.model, WeightVersion(published.version)
