"""The versions that trainers have published."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.models import WeightVersion

_LOGGER: Final = logging.getLogger(__name__)


class PublishedVersions:
    """The newest version of each model that its trainer has published."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.newest: dict[str, WeightVersion] = {}
        self.published_at: dict[str, float] = {}
        self.on_change: Callable[[], None] = _do_nothing

    def put(self, model: str, version: WeightVersion) -> None:
        """Record a version; one that is not newer is ignored."""
        if version <= self.newest.get(model, 0):
            return
        self.newest[model] = version
        self.published_at[model] = self._clock.now()
        write(_LOGGER, events.VERSION_PUBLISHED, model=model, version=version)
        self.on_change()


def _do_nothing() -> None:
    """Do nothing."""
