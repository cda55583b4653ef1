"""The coordinator's view of each sampler."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from guavagate.models import UpstreamId, WeightVersion
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts._capacity import ModelWork, SamplerCapacity

_INTERVAL_SMOOTHING = 0.3
_WORKLOAD_SMOOTHING = 0.3
# A full sampler is measured about twenty times a second, and capacity must not
# follow a slowdown that ends within a second or two.
_USUAL_INTERVAL_SMOOTHING: Final = 0.02
# The texts of about one step.
_TEXT_SMOOTHING: Final = 0.01
# The longest text counts half after those of about three steps.
_LONGEST_DECAY: Final = 0.998
# Fewer texts of a model say little, because the short ones complete first.
_MIN_TEXTS: Final = 20


class SamplerState(msgspec.Struct):
    """One sampler; intervals in seconds per event, 0 while unknown.

    `event_interval` is the newest one, and `usual_interval` the average over
    the last `measurements`.

    `orders_taken` is None until the sampler has reported it. An `unresponsive`
    sampler gets no items until it responds again. The state belongs to one
    `incarnation`, which is 0 if the sampler does not report it.
    """

    versions: dict[str, WeightVersion] = {}
    orders_taken: int | None = None
    loading: bool = False
    in_flight: int = 0
    event_interval: float = 0
    usual_interval: float = 0
    measurements: int = 0
    avoid_until: float = 0
    unreachable: int = 0
    refusals: int = 0
    failed_orders: int = 0
    order_after: float = 0
    incarnation: int = 0
    unresponsive: bool = False


class TextSeconds(msgspec.Struct, frozen=True):
    """How long a model's texts run on a usual sampler, in seconds."""

    mean: float
    longest: float


class ModelTexts(msgspec.Struct):
    """What is known of a model's texts; averages over the last ones.

    `longest` is the number of events of the longest one, reduced by each text
    since.
    """

    items_per_job: float = 0
    texts: int = 0
    events_per_text: float = 0
    longest: float = 0

    def estimate_events(self) -> float:
        """Return the average number of events; 0 while unknown."""
        return self.events_per_text if self.texts >= _MIN_TEXTS else 0


class SamplerStates:
    """States by sampler; versions only increase during an incarnation."""

    def __init__(self) -> None:
        self._states: dict[UpstreamId, SamplerState] = {}
        self.assigned: dict[UpstreamId, frozenset[str]] = {}
        # Idle samplers that serve an additional model while its items wait.
        self.borrowed: dict[UpstreamId, str] = {}
        # The work in a job of each model, smoothed over its recent jobs.
        self.workloads: dict[str, float] = {}
        self.texts: defaultdict[str, ModelTexts] = defaultdict(ModelTexts)
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback`, which must not block, when items may start."""
        self._subscribers.append(callback)

    def get_models(self, sampler: UpstreamId) -> frozenset[str]:
        """Return the models whose items a sampler gets."""
        models = self.assigned.get(sampler, frozenset())
        borrower = self.borrowed.get(sampler)
        return models if borrower is None else models | {borrower}

    def reset_loading(self) -> None:
        """Mark no sampler as loading; the next order fetches a new report."""
        for state in self._states.values():
            state.loading = False
            state.orders_taken = None

    def get(self, sampler: UpstreamId) -> SamplerState:
        """Return a sampler's state."""
        return self._states.setdefault(sampler, SamplerState())

    def update(self, upstreams: Iterable[Upstream]) -> None:
        """Apply the samplers' registrations; remove those that are gone."""
        present = set()
        for upstream in upstreams:
            present.add(upstream.id)
            if upstream.incarnation > self.get(upstream.id).incarnation:
                self.reset(upstream.id, upstream.incarnation)
            state = self.get(upstream.id)
            for model, version in upstream.versions.items():
                self._raise_version(state, model, version)
        for gone in [each for each in self._states if each not in present]:
            self.borrowed.pop(gone, None)
            if not self._states[gone].in_flight:
                self._states.pop(gone)
        self.notify()

    def reset(self, sampler: UpstreamId, incarnation: int) -> None:
        """Set a sampler's incarnation; discard the state of a previous one.

        Tasks that still use the previous state, such as an order in transit or
        a stream that ends late, do not affect the new one. Only the count of
        runs in flight stays, because each run decrements it when it ends.
        """
        state = self.get(sampler)
        if not state.incarnation:
            state.incarnation = incarnation
            return
        fresh = SamplerState(in_flight=state.in_flight, incarnation=incarnation)
        self._states[sampler] = fresh
        self.borrowed.pop(sampler, None)

    def record_workload(
        self, model: str, amount: float, items: int = 0
    ) -> None:
        """Record the amount of work in a job, and its number of items."""
        before = self.workloads.get(model, amount)
        self.workloads[model] = before + (amount - before) * _WORKLOAD_SMOOTHING
        texts = self.texts[model]
        weight = _WORKLOAD_SMOOTHING if texts.items_per_job else 1
        texts.items_per_job += (items - texts.items_per_job) * weight

    def record_text(self, model: str, events: int) -> None:
        """Record the length of a completed text."""
        texts = self.texts[model]
        texts.texts += 1
        weight = max(1 / texts.texts, _TEXT_SMOOTHING)
        texts.events_per_text += (events - texts.events_per_text) * weight
        texts.longest = max(events, texts.longest * _LONGEST_DECAY)

    def get_work(self, model: str, steps_behind: float) -> ModelWork:
        """Return the work of a model in a job."""
        texts = self.texts[model]
        return ModelWork(
            workload=self.workloads.get(model, 0),
            events=texts.items_per_job * texts.estimate_events(),
            steps_behind=steps_behind,
        )

    def estimate_texts(
        self, upstreams: Iterable[Upstream]
    ) -> dict[str, TextSeconds]:
        """Return how long the texts of each model run, if known."""
        interval = self.find_usual_interval(upstreams)
        return {
            model: TextSeconds(
                texts.events_per_text * interval, texts.longest * interval
            )
            for model, texts in self.texts.items()
            if interval and texts.estimate_events()
        }

    def list_capacities(
        self, upstreams: Iterable[Upstream], default_slots: int
    ) -> dict[UpstreamId, SamplerCapacity]:
        """Return the capacity of each sampler.

        Parameters
        ----------
        default_slots
            Slots of a sampler that doesn't report how many it has.
        """
        listed = list(upstreams)
        median = self.find_usual_interval(listed)
        capacities = {}
        for upstream in listed:
            state = self.get(upstream.id)
            capacities[upstream.id] = SamplerCapacity(
                slots=upstream.slots or default_slots,
                versions=state.versions,
                relative_interval=state.usual_interval / median
                if median
                else 0,
            )
        return capacities

    def find_usual_interval(self, upstreams: Iterable[Upstream]) -> float:
        """Return the samplers' median event interval; 0 while unknown."""
        intervals = sorted(
            interval
            for each in upstreams
            if (interval := self.get(each.id).usual_interval)
        )
        return intervals[len(intervals) // 2] if intervals else 0

    def record_version(
        self, sampler: UpstreamId, model: str, version: WeightVersion
    ) -> None:
        """Record a version that a sampler reported."""
        if self._raise_version(self.get(sampler), model, version):
            self.notify()

    def record_event_interval(
        self, sampler: UpstreamId, seconds: float
    ) -> None:
        """Record a sampler's average time per event."""
        state = self.get(sampler)
        weight = _INTERVAL_SMOOTHING if state.event_interval else 1
        state.event_interval += (seconds - state.event_interval) * weight
        state.measurements += 1
        weight = max(1 / state.measurements, _USUAL_INTERVAL_SMOOTHING)
        state.usual_interval += (seconds - state.usual_interval) * weight

    def notify(self) -> None:
        """Call the subscribers."""
        for callback in self._subscribers:
            callback()

    def _raise_version(
        self, state: SamplerState, model: str, version: WeightVersion
    ) -> bool:
        if state.versions.get(model, 0) >= version:
            return False
        state.versions = {**state.versions, model: version}
        return True
