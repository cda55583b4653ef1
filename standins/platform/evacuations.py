"""Evacuates zones and takes them back; samplers become cold meanwhile."""

import random
from collections.abc import Sequence
from typing import Final, Protocol

import gevent

from guavagate.clock import Clock
from standins.platform.store import Store
from standins.platform.topology import EVACUATE_SECONDS, ZONES
from standins.platform.zone_checks import Evacuated

KIND: Final = 'evacuations'
# Seconds for which a zone stays evacuated after the bound, and between two.
_EMPTY_SECONDS: Final = (1.0, 4.0)
_PAUSE_SECONDS: Final = (1.5, 4.0)
# An object that is removed is set again within a second, so that its removal
# may go unnoticed.
_AGAIN_SECONDS: Final = (0.05, 0.9)
_AGAIN_SHARE: Final = 0.2
_TWO_ZONES_SHARE: Final = 0.25
_UNKNOWN_ZONE: Final = 'z9'
_UNREADABLE: Final = 'not an object'
_UNREADABLE_SHARE: Final = 0.2
# Samplers of a zone become cold up to this long before it returns.
_COLD_BEFORE_SECONDS: Final = 1.0
# Time between two samplers that become cold while in use.
_COLD_AGAIN_SECONDS: Final = (2.0, 6.0)


class ColdSampler(Protocol):
    """A sampler that may become cold at any moment."""

    zone: str

    def turn_cold(self) -> None:
        """Become cold and tell the store."""


class Evacuations:
    """Sets and removes the objects of evacuations, one or two at a time."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        store: Store,
        samplers: Sequence[ColdSampler],
    ) -> None:
        self.all: list[Evacuated] = []
        self._clock = clock
        self._random = rng
        self._store = store
        self._samplers = samplers
        self._stopped = False

    def stop(self) -> None:
        """Evacuate no further zones."""
        self._stopped = True

    def run(self) -> None:
        """Evacuate zones until stopped; none is evacuated afterwards."""
        # An unknown zone has no effect, whatever else is evacuated.
        self._store.write(KIND, _UNKNOWN_ZONE, {})
        while not self._stopped:
            gevent.sleep(self._random.uniform(*_PAUSE_SECONDS))
            count = 1 + (self._random.random() < _TWO_ZONES_SHARE)
            gevent.joinall(
                [
                    gevent.spawn(self._evacuate, zone)
                    for zone in self._random.sample(ZONES, count)
                ],
                raise_error=True,
            )

    def turn_cold(self) -> None:
        """Have samplers become cold without notice, one at a time."""
        while True:
            gevent.sleep(self._random.uniform(*_COLD_AGAIN_SECONDS))
            self._random.choice(self._samplers).turn_cold()

    def _evacuate(self, zone: str) -> None:
        self._set(zone)
        if self._random.random() < _AGAIN_SHARE:
            gevent.sleep(self._random.uniform(*_AGAIN_SECONDS))
            self._remove(zone)
            gevent.sleep(self._random.uniform(*_AGAIN_SECONDS))
            self._set(zone)
        gevent.sleep(EVACUATE_SECONDS + self._random.uniform(*_EMPTY_SECONDS))
        for sampler in self._samplers:
            if sampler.zone == zone:
                sampler.turn_cold()
        gevent.sleep(self._random.uniform(0, _COLD_BEFORE_SECONDS))
        self._remove(zone)

    def _set(self, zone: str) -> None:
        unreadable = self._random.random() < _UNREADABLE_SHARE
        self._store.write(KIND, zone, _UNREADABLE if unreadable else {})
        self.all.append(Evacuated(zone=zone, since=self._clock.now()))

    def _remove(self, zone: str) -> None:
        in_force = next(
            each for each in reversed(self.all) if each.zone == zone
        )
        in_force.until = self._clock.now()
        self._store.write(KIND, zone, {}, delete=True)
