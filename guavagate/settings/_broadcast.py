"""Tells new revisions to every instance through a tree of bounded fan-out."""

from collections.abc import Iterator, Sequence
from typing import Final

from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.settings._messages import SettingsTell
from guavagate.settings._record import SettingsRecord
from guavagate.settings._table import SettingsTable

# At 9 instances one step reaches all; at 330 three steps do, and no instance
# sends a text of 60 KB more than eight times.
FAN_OUT: Final = 8


class Broadcaster:
    """Sends and passes on revisions.

    One-way messages: a dead or paused instance in the tree cuts off those
    below it, who notice by the digests of their peers within seconds.
    """

    def __init__(self, bus: Bus, table: SettingsTable) -> None:
        self._bus = bus
        self._table = table
        bus.register(SettingsTell, self._handle_tell)

    def broadcast(
        self, record: SettingsRecord, targets: Sequence[InstanceId]
    ) -> None:
        """Tell a revision to the targets, through the first of each part."""
        for first, rest in split(targets, FAN_OUT):
            self._bus.send(first, SettingsTell(record=record, targets=rest))

    def _handle_tell(self, sender: InstanceId, message: Message) -> None:
        told = expect(message, SettingsTell)
        self._table.apply_if_newer(told.record)
        self.broadcast(told.record, told.targets)


def split(
    targets: Sequence[InstanceId], parts: int
) -> Iterator[tuple[InstanceId, tuple[InstanceId, ...]]]:
    """Yield the first of each part with the others of that part."""
    for start in range(min(parts, len(targets))):
        first, *rest = targets[start::parts]
        yield first, tuple(rest)
