"""Gauges of what an instance knows about the fleet."""

from typing import Final

from guavagate.feeds import Proof
from guavagate.links import ZmqBus, watch_messages
from guavagate.membership import Membership
from guavagate.metrics import Metrics, names
from guavagate.quarantine import Quarantine

# Value of the metric while the configuration is not proven.
NO_PROOF_SECONDS: Final = 1e6


def watch_instance(
    metrics: Metrics,
    proof: Proof,
    quarantine: Quarantine,
    members: Membership,
    bus: ZmqBus,
) -> None:
    """Set the gauges whenever the metrics are read."""
    watch_messages(metrics, bus.messages, members, bus.me)

    def refresh() -> None:
        age = min(proof.age(), NO_PROOF_SECONDS)
        metrics.set_gauge(names.PROOF_AGE_SECONDS, age)
        metrics.set_gauge(names.STOPPED_REQUESTS, quarantine.size)
        metrics.set_gauge(names.MEMBERS, len(members.alive()))

    metrics.add_refresher(refresh)
