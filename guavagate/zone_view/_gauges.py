"""Gauges of the zones, which `guavagate zones` reads."""

from typing import Final

from guavagate.clock import Clock
from guavagate.metrics import Metrics, names
from guavagate.zone_view._view import ZoneView

# How precise the ages of evacuations and warm-ups are.
OBSERVE_SECONDS: Final = 0.5


def watch_zones(metrics: Metrics, clock: Clock, view: ZoneView) -> None:
    """Observe the zones, and set the gauges whenever the metrics are read."""

    def observe() -> None:
        while True:
            view.observe(clock.now())
            clock.sleep(OBSERVE_SECONDS)

    metrics.add_refresher(lambda: _set_gauges(metrics, clock.now(), view))
    clock.spawn(observe)


def _set_gauges(metrics: Metrics, now: float, view: ZoneView) -> None:
    for metric in names.ZONE_METRICS:
        metrics.clear(metric)
    for state in view.list_zones(now):
        place = {'zone': state.zone, 'region': state.region}
        metrics.set_gauge(names.ZONE_INSTANCES, state.instances, **place)
        metrics.set_gauge(names.ZONE_UPSTREAMS, state.upstreams, **place)
        metrics.set_gauge(names.ZONE_COLD, state.cold, **place)
        metrics.set_gauge(names.ZONE_RUNNING, state.running, **place)
        if state.evacuated_for is not None:
            metrics.set_gauge(
                names.ZONE_EVACUATED_SECONDS, state.evacuated_for, **place
            )
    for cold in view.list_cold(now):
        metrics.set_gauge(
            names.COLD_SECONDS,
            cold.seconds,
            upstream=cold.upstream,
            service=cold.service,
            zone=cold.zone,
        )
