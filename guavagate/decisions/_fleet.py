"""What a pool's home learns of all its samplers together."""

import statistics
from collections.abc import Iterable
from typing import Final

from guavagate.decisions import ejection
from guavagate.decisions._sampler import Running, SamplerInfo, SamplerState
from guavagate.decisions._work import (
    PREFILL_SHARE,
    Kind,
    Safeguard,
    Work,
    demands_of,
)
from guavagate.decisions.admission import LengthEstimate
from guavagate.models import SamplerId

# Sampler weights are worked out anew at most this often, in seconds.
REFRESH_S: Final = 0.1
# Seconds per token before anything was measured: an engine's usual pace.
FIRST_PACE: Final = 0.02
# Running work's lower bound on its pace is evidence from this multiple of the
# median on; below it, batches and lengths differ that much.
SUSPECT_RATIO: Final = 2.0
_SMOOTHING: Final = 0.05


class Fleet:
    """The samplers of one pool, their pace and shares."""

    def __init__(self, safeguards: frozenset[Safeguard]) -> None:
        self._on = safeguards
        self._refreshed = float('-inf')
        self.samplers: dict[SamplerId, SamplerState] = {}
        self.length = LengthEstimate()
        self.pace = FIRST_PACE
        self.median: float | None = None
        self.slots = 0
        self._rollout_slots = 0

    def declare(self, infos: Iterable[SamplerInfo], now: float) -> None:
        """Take over the declared samplers; others are gone."""
        wanted = {info.id: info for info in infos}
        for sampler in set(self.samplers) - set(wanted):
            self.samplers.pop(sampler)
        for info in wanted.values():
            state = self.samplers.get(info.id)
            if state is None:
                state = SamplerState(
                    info,
                    learning=Safeguard.LIMIT in self._on,
                    healing=Safeguard.GAPS in self._on,
                )
                self.samplers[info.id] = state
            state.declare(info)
        self.refresh(now, force=True)

    def has_free(self) -> bool:
        """Return whether any sampler may start more work."""
        for state in self.samplers.values():
            if state.occupied < max(state.usable, state.usable_rollout):
                return True
        return False

    def fitting(self, work: Work) -> list[SamplerState]:
        """Return the samplers that may start this work now."""
        if demands_of(work):
            return [
                state
                for state in self.samplers.values()
                if state.free_for(work) > 0 and not state.blocks(work)
            ]
        # Leaving samplers have no usable slots.
        if work.kind is Kind.ROLLOUT:
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

    def slots_for(self, work: Work) -> int:
        """Return how much of this work's kind may run at once."""
        if work.kind is Kind.ROLLOUT:
            return self._rollout_slots
        return self.slots

    def refresh(self, now: float, *, force: bool = False) -> None:
        """Work out anew which sampler may have how much."""
        if not force and now - self._refreshed < REFRESH_S:
            return
        self._refreshed = now
        states = list(self.samplers.values())
        paces = [state.health.pace for state in states if state.health.pace]
        self.median = statistics.median_low(paces) if paces else None
        ejecting = Safeguard.EJECTION in self._on
        if ejecting and self.median:
            self._eject(states, now)
        for state in states:
            state.refresh(now, self.median, ejecting)
        self.slots = sum(state.usable for state in states)
        self._rollout_slots = sum(state.usable_rollout for state in states)

    def learn(
        self,
        running: Running,
        state: SamplerState,
        now: float,
        tokens: int,
        cached_tokens: int | None,
    ) -> None:
        """Take in a whole answer's time, length and cached tokens."""
        work = running.work
        self.length.learn(work.expected_tokens, tokens)
        prompt = running.cost - work.expected_tokens
        if cached_tokens is not None:
            prompt = (work.prompt_tokens - cached_tokens) * PREFILL_SHARE
            _learn_cache(running, state, cached_tokens)
        pace = (now - running.start) / max(tokens + prompt, 1.0)
        state.health.succeed(pace, now)
        streams = (running.level + len(state.running) + 1) / 2
        state.limit.learn(pace, streams, running.start, now)
        self.pace += _SMOOTHING * (pace - self.pace)

    def _eject(self, states: list[SamplerState], now: float) -> None:
        median = self.median or 0
        out = sum(now < state.health.ejected_until for state in states)
        for state in states:
            if now < state.health.ejected_until:
                continue
            self._suspect(state, median, now)
            if state.health.quality(now, median) >= ejection.EJECT_BELOW:
                continue
            if ejection.may_eject(out, len(states)):
                state.health.eject(now)
                out += 1

    def _suspect(self, state: SamplerState, median: float, now: float) -> None:
        """Learn from work that takes too long before it ends."""
        oldest = next(iter(state.running.values()), None)
        if oldest is None:
            return
        bound = (now - oldest.start) / (oldest.cost * self.length.high)
        if bound > SUSPECT_RATIO * median:
            state.health.suspect(bound, now)


def _learn_cache(
    running: Running, state: SamplerState, cached_tokens: int
) -> None:
    """Tell the index when the answer found less cached than expected."""
    keys = running.work.prefix_keys
    if not keys or not running.cached:
        return
    tokens_each = running.work.prompt_tokens / len(keys)
    found = int(cached_tokens / max(tokens_each, 1.0) + 0.5)
    if found < running.cached:
        state.prefixes.learn_evicted(running.cached_at)
