"""What samplers receive: each arrival with the state of its receiver."""

import enum

import msgspec

from standins.platform.topology import is_bound


class Kind(enum.Enum):
    """What a sampler is asked."""

    PROBE = 'probe'
    REPORT = 'report'
    ORDER = 'order'
    RUN = 'run'


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A call that a sampler received and that was meant for it.

    Attributes
    ----------
    at
        When its head was read, in seconds.
    sampler
        Name of the sampler's first start; its id changes when it crashes.
    cold
        Whether the sampler was cold at that moment.
    """

    at: float
    sampler: str
    zone: str
    kind: Kind
    name: str = ''
    cold: bool = False

    @property
    def bound(self) -> bool:
        """Return whether it may reach samplers of some regions only."""
        return self.kind is Kind.RUN and is_bound(self.name)

    @property
    def is_cold_start(self) -> bool:
        """Return whether it counts against the limit of a cold sampler."""
        return self.kind is Kind.RUN and self.cold
