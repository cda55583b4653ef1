"""What the coordinating instance knows of each sampler."""

from collections.abc import Callable, Iterable

import msgspec

from guavagate.models import UpstreamId, WeightVersion
from guavagate.ports.upstreams import Upstream

_INTERVAL_SMOOTHING = 0.3
_WORKLOAD_SMOOTHING = 0.3


class SamplerState(msgspec.Struct):
    """One sampler; `pace` in seconds an event, 0 when not known yet.

    `orders_taken` is nothing until the sampler was asked for it; a `silent`
    one gets no items until it answers again. All of this is about the start
    that `incarnation` names, 0 where it is not told.
    """

    versions: dict[str, WeightVersion] = {}
    orders_taken: int | None = None
    loading: bool = False
    in_flight: int = 0
    event_interval: float = 0
    avoid_until: float = 0
    unreachable: int = 0
    failed_orders: int = 0
    order_after: float = 0
    incarnation: int = 0
    stalled: bool = False


class SamplerStates:
    """States by sampler; versions never go back while a sampler lives."""

    def __init__(self) -> None:
        self._states: dict[UpstreamId, SamplerState] = {}
        self.assigned: dict[UpstreamId, frozenset[str]] = {}
        # Idle samplers that serve one more model while its items wait.
        self.borrowed: dict[UpstreamId, str] = {}
        # What each model's trainer submits in a job, by its recent ones.
        self.workloads: dict[str, float] = {}
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call back, without blocking, after each change that frees work."""
        self._subscribers.append(changed)

    def get_models(self, sampler: UpstreamId) -> frozenset[str]:
        """Return the models that a sampler is given items of."""
        models = self.assigned.get(sampler, frozenset())
        extra = self.borrowed.get(sampler)
        return models if extra is None else models | {extra}

    def reset_loading(self) -> None:
        """Take no sampler for loading; whoever orders next looks anew."""
        for state in self._states.values():
            state.loading = False
            state.orders_taken = None

    def get(self, sampler: UpstreamId) -> SamplerState:
        """Return a sampler's state."""
        return self._states.setdefault(sampler, SamplerState())

    def update(self, upstreams: Iterable[Upstream]) -> None:
        """Take in what the samplers registered; forget those that are gone."""
        present = set()
        for upstream in upstreams:
            present.add(upstream.id)
            if upstream.incarnation > self.get(upstream.id).incarnation:
                self.reset(upstream.id, upstream.incarnation)
            state = self.get(upstream.id)
            for model, version in upstream.versions.items():
                self._raise(state, model, version)
        for gone in [each for each in self._states if each not in present]:
            self.borrowed.pop(gone, None)
            if not self._states[gone].in_flight:
                self._states.pop(gone)
        self.notify()

    def reset(self, sampler: UpstreamId, start: int) -> None:
        """Take in of which start a sampler is; forget an earlier one.

        Whoever still works with the former state, an order on its way or a
        stream that ends late, changes nothing of the new one. Only the slots
        that are held here stay: each is freed as its run ends.
        """
        state = self.get(sampler)
        if not state.incarnation:
            state.incarnation = start
            return
        fresh = SamplerState(in_flight=state.in_flight, incarnation=start)
        self._states[sampler] = fresh
        self.borrowed.pop(sampler, None)

    def record_workload(self, model: str, amount: float) -> None:
        """Take in how much a job asks for."""
        before = self.workloads.get(model, amount)
        self.workloads[model] = before + (amount - before) * _WORKLOAD_SMOOTHING

    def record_version(
        self, sampler: UpstreamId, model: str, version: WeightVersion
    ) -> None:
        """Take in a version that an answer named."""
        if self._raise(self.get(sampler), model, version):
            self.notify()

    def record_event_interval(
        self, sampler: UpstreamId, seconds: float
    ) -> None:
        """Take in how long a sampler took for an event, over some."""
        state = self.get(sampler)
        share = _INTERVAL_SMOOTHING if state.event_interval else 1
        state.event_interval += (seconds - state.event_interval) * share

    def notify(self) -> None:
        """Call the subscribers."""
        for changed in self._subscribers:
            changed()

    def _raise(
        self, state: SamplerState, model: str, version: WeightVersion
    ) -> bool:
        if state.versions.get(model, 0) >= version:
            return False
        state.versions = {**state.versions, model: version}
        return True
