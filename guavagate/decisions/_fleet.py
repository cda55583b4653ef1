"""Tracks a pool's samplers, their median token interval and their slots."""

import statistics
from collections.abc import Iterable
from typing import Final

from guavagate.decisions import ejection
from guavagate.decisions._sampler import (
    PoolSamplerState,
    RunningWork,
    SamplerInfo,
)
from guavagate.decisions._work import (
    PREFILL_SHARE,
    Safeguard,
    Work,
    WorkKind,
    has_constraints,
)
from guavagate.decisions.admission import LengthEstimate
from guavagate.models import SamplerId

# Shortest time between two updates of the sampler weights, in seconds.
REFRESH_S: Final = 0.1
# An engine's usual seconds per token, until answers have been measured.
INITIAL_TOKEN_INTERVAL_SECONDS: Final = 0.02
# A lower bound on running work's token interval counts as evidence from this
# multiple of the median on; batches and lengths explain smaller ratios.
SUSPECT_RATIO: Final = 2.0
_SMOOTHING: Final = 0.05


class Fleet:
    """The samplers of one pool with their token intervals and shares."""

    def __init__(self, safeguards: frozenset[Safeguard]) -> None:
        self._enabled = safeguards
        self._refreshed = float('-inf')
        self.samplers: dict[SamplerId, PoolSamplerState] = {}
        self.length = LengthEstimate()
        self.token_interval = INITIAL_TOKEN_INTERVAL_SECONDS
        self.median_interval: float | None = None
        self.slots = 0
        self._rollout_slots = 0

    def update_samplers(self, infos: Iterable[SamplerInfo], now: float) -> None:
        """Apply the declared samplers; remove those no longer declared."""
        declared = {info.id: info for info in infos}
        for sampler in set(self.samplers) - set(declared):
            self.samplers.pop(sampler)
        for info in declared.values():
            state = self.samplers.get(info.id)
            if state is None:
                state = PoolSamplerState(
                    info,
                    learning=Safeguard.LIMIT in self._enabled,
                    healing=Safeguard.GAPS in self._enabled,
                )
                self.samplers[info.id] = state
            state.update_info(info)
        self.refresh(now, force=True)

    def has_free(self) -> bool:
        """Return whether any sampler has a free slot."""
        for state in self.samplers.values():
            if state.occupied < max(state.usable, state.usable_rollout):
                return True
        return False

    def find_fitting(self, work: Work) -> list[PoolSamplerState]:
        """Return the samplers that may start this work now."""
        if has_constraints(work):
            return [
                state
                for state in self.samplers.values()
                if state.count_free(work) > 0
                and not state.find_block_reason(work)
            ]
        # Leaving samplers have no usable slots.
        if work.kind is WorkKind.ROLLOUT:
            return [
                state
                for state in self.samplers.values()
                if state.occupied < state.usable_rollout
            ]
        return [
            state
            for state in self.samplers.values()
            if state.occupied < state.usable
        ]

    def count_slots(self, work: Work) -> int:
        """Return the number of slots for this work's kind."""
        if work.kind is WorkKind.ROLLOUT:
            return self._rollout_slots
        return self.slots

    def refresh(self, now: float, *, force: bool = False) -> None:
        """Update each sampler's share and usable slots."""
        if not force and now - self._refreshed < REFRESH_S:
            return
        self._refreshed = now
        states = list(self.samplers.values())
        intervals = [
            state.health.token_interval
            for state in states
            if state.health.token_interval
        ]
        self.median_interval = (
            statistics.median_low(intervals) if intervals else None
        )
        ejecting = Safeguard.EJECTION in self._enabled
        if ejecting and self.median_interval:
            self._eject(states, now)
        for state in states:
            state.refresh(now, self.median_interval, ejecting)
        self.slots = sum(state.usable for state in states)
        self._rollout_slots = sum(state.usable_rollout for state in states)

    def record_answer(
        self,
        running: RunningWork,
        state: PoolSamplerState,
        now: float,
        tokens: int,
        cached_tokens: int | None,
    ) -> None:
        """Record a complete answer's duration, length and cached tokens."""
        work = running.work
        self.length.learn(work.expected_tokens, tokens)
        prompt = running.cost - work.expected_tokens
        if cached_tokens is not None:
            prompt = (work.prompt_tokens - cached_tokens) * PREFILL_SHARE
            _learn_cache(running, state, cached_tokens)
        token_interval = (now - running.start) / max(tokens + prompt, 1.0)
        state.health.record_success(token_interval, now)
        streams = (running.streams_at_start + len(state.running) + 1) / 2
        state.limit.learn(token_interval, streams, running.start, now)
        self.token_interval += _SMOOTHING * (
            token_interval - self.token_interval
        )

    def _eject(self, states: list[PoolSamplerState], now: float) -> None:
        median_interval = self.median_interval or 0
        ejected = sum(now < state.health.ejected_until for state in states)
        for state in states:
            if now < state.health.ejected_until:
                continue
            self._check_oldest(state, median_interval, now)
            if (
                state.health.get_quality(now, median_interval)
                >= ejection.EJECT_BELOW
            ):
                continue
            if ejection.may_eject(ejected, len(states)):
                state.health.eject(now)
                ejected += 1

    def _check_oldest(
        self, state: PoolSamplerState, median_interval: float, now: float
    ) -> None:
        """Record slowness of the longest-running work before it ends."""
        oldest = next(iter(state.running.values()), None)
        if oldest is None:
            return
        bound = (now - oldest.start) / (oldest.cost * self.length.high)
        if bound > SUSPECT_RATIO * median_interval:
            state.health.record_lower_bound(bound, now)


def _learn_cache(
    running: RunningWork, state: PoolSamplerState, cached_tokens: int
) -> None:
    """Correct the prefix index when less was cached than expected."""
    keys = running.work.prefix_keys
    if not keys or not running.cached_prefixes:
        return
    tokens_each = running.work.prompt_tokens / len(keys)
    found = int(cached_tokens / max(tokens_each, 1.0) + 0.5)
    if found < running.cached_prefixes:
        state.prefixes.record_eviction(running.cached_prefix_at)
