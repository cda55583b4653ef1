"""Decides which orders of upstreams to send; uses no network."""

from collections.abc import Collection, Mapping
from typing import Final

from guavagate.duties._supply import Key, Supply
from guavagate.duties._targets import CapacityType, Targets, UpstreamCounts
from guavagate.models import ZoneId
from guavagate.ports.configuration import Scaling

# An order counts as lost if its upstreams are still missing this long after
# their boot time.
OVERDUE_SECONDS: Final = 2.0

Counts = Mapping[ZoneId, UpstreamCounts]


class Orders:
    """The amounts that were ordered, and when.

    Attributes
    ----------
    standing
        The amounts of orders that were accepted, or whose answer is unknown.
    """

    def __init__(self) -> None:
        self.standing: Targets = {}
        self._sent_at: dict[Key, float] = {}
        self._arrived: set[Key] = set()
        self._leaving: dict[ZoneId, int] = {}

    def clear(self) -> None:
        """Forget all; another instance may order meanwhile."""
        self.standing.clear()
        self._sent_at.clear()
        self._arrived.clear()
        self._leaving.clear()

    def record(self, key: Key, amount: int, now: float) -> None:
        """Record an order that may be carried out."""
        self.standing[key] = amount
        self._sent_at[key] = now
        self._arrived.discard(key)

    def record_counts(self, counts: Counts) -> list[Key]:
        """Return the orders whose first upstreams have arrived since."""
        arrived = [
            key
            for key, amount in self.standing.items()
            if amount and key not in self._arrived and _get(counts, key)
        ]
        self._arrived.update(arrived)
        return arrived

    def list_missing(
        self, counts: Counts, scaling: Scaling, now: float
    ) -> list[Key]:
        """Return the spot orders that were accepted and not carried out."""
        return [
            key
            for key, amount in self.standing.items()
            if amount
            and key[1] is CapacityType.SPOT
            and key not in self._arrived
            and not _get(counts, key)
            and self._is_overdue(key, scaling, now)
        ]

    def find_reclaimed(self, counts: Counts) -> list[ZoneId]:
        """Return the zones of which spot upstreams have begun to be reclaimed.

        Those that leave after a smaller order are not reclaimed, also if more
        are ordered before they are gone.
        """
        found = []
        for zone, count in counts.items():
            ordered = self.standing.get((zone, CapacityType.SPOT))
            missing = ordered is None or count.spot < ordered
            if missing and count.reclaimed > self._leaving.get(zone, 0):
                found.append(zone)
            self._leaving[zone] = count.reclaimed
        return found

    def has_replacements(
        self, baseline: Mapping[ZoneId, int], regular: Mapping[ZoneId, int]
    ) -> bool:
        """Return whether regular upstreams beyond the baseline are ordered.

        Parameters
        ----------
        regular
            The regular upstreams that are there or about to be ordered.
        """
        amounts = list(regular.items())
        amounts += [
            (zone, amount)
            for (zone, kind), amount in self.standing.items()
            if kind is CapacityType.REGULAR
        ]
        return any(amount > baseline.get(zone, 0) for zone, amount in amounts)

    def list_due(
        self,
        targets: Targets,
        counts: Counts,
        supply: Supply,
        retried: Collection[ZoneId],
        scaling: Scaling,
        now: float,
    ) -> list[tuple[Key, int]]:
        """Return the orders to send now, those that release upstreams first.

        The platform adds up both kinds of a zone, so what is ordered must never
        exceed the limit, even between two orders.
        """
        due = []
        for key, amount in targets.items():
            zone, kind = key
            if supply.is_available(key):
                is_due = self._is_due(key, amount, counts, scaling, now)
            elif kind is CapacityType.SPOT and zone not in retried:
                is_due = self._must_release(zone, targets, scaling)
            else:
                is_due = amount > 0 and supply.is_retry_due(key, now)
            if is_due:
                due.append((key, amount))
        due.sort(key=lambda each: each[1] > self._get_amount(each[0], counts))
        return due

    def fits(
        self, key: Key, amount: int, counts: Counts, scaling: Scaling
    ) -> bool:
        """Return whether an order keeps both kinds of a zone in the limit."""
        if amount <= self._get_amount(key, counts):
            return True
        other = sum(
            self._get_amount((key[0], kind), counts)
            for kind in CapacityType
            if kind is not key[1]
        )
        return other + amount <= scaling.max_upstreams

    def _get_amount(self, key: Key, counts: Counts) -> int:
        return self.standing.get(key, _get(counts, key))

    def _must_release(
        self, zone: ZoneId, targets: Targets, scaling: Scaling
    ) -> bool:
        """Return whether an old spot order would exceed the limit."""
        spots = self.standing.get((zone, CapacityType.SPOT), 0)
        regular = targets[zone, CapacityType.REGULAR]
        target = targets[zone, CapacityType.SPOT]
        return spots > target and regular + spots > scaling.max_upstreams

    def _is_due(
        self,
        key: Key,
        amount: int,
        counts: Counts,
        scaling: Scaling,
        now: float,
    ) -> bool:
        current = _get(counts, key)
        if self.standing.get(key, current) != amount:
            return True
        return current < amount and self._is_overdue(key, scaling, now)

    def _is_overdue(self, key: Key, scaling: Scaling, now: float) -> bool:
        sent_at = self._sent_at.setdefault(key, now)
        return now - sent_at > scaling.boot_seconds + OVERDUE_SECONDS


def _get(counts: Counts, key: Key) -> int:
    zone, kind = key
    count = counts.get(zone, UpstreamCounts())
    return count.spot if kind is CapacityType.SPOT else count.regular
