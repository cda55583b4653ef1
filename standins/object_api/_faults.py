"""Faults of the object API and its list of instances."""

import random
import time
from typing import Any

import msgspec


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``; omitted faults are cleared."""

    outage: bool = False
    slow_ms: float = 0
    lose_answers: float = 0
    stale_reads: bool = False
    list_lag_s: float = 0
    hide: list[str] = []
    ghosts: list[dict[str, Any]] = []


class Instances:
    """The platform's list of instances, which lags behind changes."""

    def __init__(self) -> None:
        self._entries: dict[str, dict[str, Any]] = {}
        self._snapshots: list[tuple[float, list[dict[str, Any]]]] = []

    def put(self, instance: str, entry: dict[str, Any]) -> None:
        """Add an instance or replace its entry."""
        self._entries[instance] = {'state': 'live', **entry, 'id': instance}
        self._store_snapshot()

    def delete(self, instance: str) -> None:
        """Remove an instance from the list."""
        self._entries.pop(instance, None)
        self._store_snapshot()

    def show(self, faults: Faults) -> list[dict[str, Any]]:
        """Return the list as of `list_lag_s` ago, with injected errors."""
        until = time.monotonic() - faults.list_lag_s
        published = [entries for at, entries in self._snapshots if at <= until]
        entries = published[-1] if published else []
        shown = [entry for entry in entries if entry['id'] not in faults.hide]
        return shown + faults.ghosts

    def _store_snapshot(self) -> None:
        """Store the current list as the newest snapshot."""
        self._snapshots.append((time.monotonic(), list(self._entries.values())))
        self._snapshots = self._snapshots[-100:]


def loses_response(faults: Faults, rng: random.Random) -> bool:
    """Return whether to drop the response of this write."""
    return rng.random() < faults.lose_answers
