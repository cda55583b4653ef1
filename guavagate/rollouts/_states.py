"""The coordinator's view of each sampler."""

from collections.abc import Callable, Iterable

import msgspec

from guavagate.models import UpstreamId, WeightVersion
from guavagate.ports.upstreams import Upstream

_INTERVAL_SMOOTHING = 0.3
_WORKLOAD_SMOOTHING = 0.3


class SamplerState(msgspec.Struct):
    """One sampler; `event_interval` in seconds per event, 0 while unknown.

    `orders_taken` is None until the sampler has reported it. An `unresponsive`
    sampler gets no items until it responds again. The state belongs to one
    `incarnation`, which is 0 if the sampler does not report it.
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
    unresponsive: bool = False


class SamplerStates:
    """States by sampler; versions only increase during an incarnation."""

    def __init__(self) -> None:
        self._states: dict[UpstreamId, SamplerState] = {}
        self.assigned: dict[UpstreamId, frozenset[str]] = {}
        # Idle samplers that serve an additional model while its items wait.
        self.borrowed: dict[UpstreamId, str] = {}
        # The work in a job of each model, smoothed over its recent jobs.
        self.workloads: dict[str, float] = {}
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

    def record_workload(self, model: str, amount: float) -> None:
        """Record the amount of work in a job."""
        before = self.workloads.get(model, amount)
        self.workloads[model] = before + (amount - before) * _WORKLOAD_SMOOTHING

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
