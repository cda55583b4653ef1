"""Exports the traffic of the bus as metrics."""

from collections.abc import Callable
from typing import Protocol

from guavagate.links._message_traffic import MessageTraffic
from guavagate.metrics import Metrics, names
from guavagate.models import InstanceId
from guavagate.util.distance import Distance, Place, measure_distance


class _Members(Protocol):
    """The instances whose zones and regions are known."""

    def get(self, instance: InstanceId) -> Place | None:
        """Return an instance, or None if it is unknown."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Register a callback for each change; it must not block."""


def watch_messages(
    metrics: Metrics,
    messages: MessageTraffic,
    members: _Members,
    me: InstanceId,
) -> None:
    """Count by the distance to each member, and export the counters."""

    def locate(peer: InstanceId) -> Distance:
        return measure_distance(members.get(me), members.get(peer))

    def refresh() -> None:
        for (kind, direction, distance), count in messages:
            labels = {
                'message': kind,
                'way': direction.value,
                'distance': distance.value,
            }
            metrics.set_total(names.BUS_MESSAGES, count.messages, **labels)
            metrics.set_total(names.BUS_BYTES, count.size, **labels)

    messages.set_locator(locate)
    members.subscribe(messages.forget_distances)
    metrics.add_refresher(refresh)
