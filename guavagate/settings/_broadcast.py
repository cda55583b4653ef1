"""Broadcasts new revisions through a tree of bounded fan-out."""

from collections.abc import Iterator, Sequence
from typing import Final

from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.settings._messages import SettingsTell
from guavagate.settings._record import SettingsRecord
from guavagate.settings._table import SettingsTable

# One hop reaches 9 instances and three hops reach 330; no instance sends a
# text of 60 KB more than eight times.
FAN_OUT: Final = 8


class Broadcaster:
    """Sends and forwards revisions.

    The messages are one-way: a dead or paused instance in the tree cuts off
    the instances below it. These find out from their peers' digests within
    seconds.
    """

    def __init__(self, bus: Bus, table: SettingsTable) -> None:
        self._bus = bus
        self._table = table
        bus.register(SettingsTell, self._handle_revision)

    def broadcast(
        self, record: SettingsRecord, targets: Sequence[InstanceId]
    ) -> None:
        """Send a revision to the targets, by way of the first of each part."""
        for first, rest in split_targets(targets, FAN_OUT):
            self._bus.send(first, SettingsTell(record=record, targets=rest))

    def _handle_revision(self, sender: InstanceId, message: Message) -> None:
        received = expect(message, SettingsTell)
        self._table.apply_if_newer(received.record)
        self.broadcast(received.record, received.targets)


def split_targets(
    targets: Sequence[InstanceId], parts: int
) -> Iterator[tuple[InstanceId, tuple[InstanceId, ...]]]:
    """Yield the first target of each part with the part's other targets."""
    for start in range(min(parts, len(targets))):
        first, *rest = targets[start::parts]
        yield first, tuple(rest)
