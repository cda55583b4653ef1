"""The object API's faults and limits."""

import random
import time
from typing import Any

import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What ``POST /control/faults`` sets; what it leaves out is healthy."""

    outage: bool = False
    slow_ms: float = 0
    lose_answers: float = 0
    stale_reads: bool = False
    list_lag_s: float = 0
    hide: list[str] = []
    ghosts: list[dict[str, Any]] = []


class Instances:
    """The platform's list of instances, which lags.

    Parameters
    ----------
    faults
        Hidden and invented entries, and the lag.
    """

    def __init__(self) -> None:
        self._live: dict[str, dict[str, Any]] = {}
        self._past: list[tuple[float, list[dict[str, Any]]]] = []

    def put(self, instance: str, entry: dict[str, Any]) -> None:
        """Enter an instance, or change its state."""
        self._live[instance] = {'state': 'live', **entry, 'id': instance}
        self._keep()

    def delete(self, instance: str) -> None:
        """Take an instance off the list."""
        self._live.pop(instance, None)
        self._keep()

    def show(self, faults: Faults) -> list[dict[str, Any]]:
        """Return the list as it was before the lag, with its errors."""
        until = time.monotonic() - faults.list_lag_s
        seen = [entries for at, entries in self._past if at <= until]
        entries = seen[-1] if seen else []
        shown = [entry for entry in entries if entry['id'] not in faults.hide]
        return shown + faults.ghosts

    def _keep(self) -> None:
        """Keep the list as it is now."""
        self._past.append((time.monotonic(), list(self._live.values())))
        self._past = self._past[-100:]


def loses(faults: Faults, draw: random.Random) -> bool:
    """Tell whether this answer is lost on its way."""
    return draw.random() < faults.lose_answers
