"""The samplers that may be given items now."""

from collections.abc import Sequence
from typing import Final

from guavagate.jobs._schedule import SamplerSlots
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import SamplerStates

# A load of weights takes about as long, and so does the first pause after a
# failure.
UPCOMING_SECONDS: Final = 1.0


def list_slots(
    serving: Sequence[Upstream],
    states: SamplerStates,
    default: int,
    now: float,
    *,
    include_upcoming: bool = False,
) -> list[SamplerSlots]:
    """Return the samplers that neither load, failed just now nor are silent.

    Parameters
    ----------
    default
        Slots of a sampler that does not tell how many it has.
    soon
        Whether those are listed as well that will be of use in a moment, as
        for a forecast: while a model's samplers load it has no slots, and that
        is over before anything is late.
    """
    until = now + UPCOMING_SECONDS if include_upcoming else now
    known = [(each, states.get(each.id)) for each in serving]
    usual = find_median_interval(serving, states)
    listed = []
    for upstream, state in known:
        if state.stalled or state.avoid_until > until:
            continue
        if state.loading and not include_upcoming:
            continue
        slots = upstream.slots or default
        listed.append(
            SamplerSlots(
                id=upstream.id,
                versions=state.versions,
                free=max(slots - state.in_flight, 0),
                slots=slots,
                relative_interval=state.event_interval / usual
                if usual and state.event_interval
                else 1.0,
                models=states.get_models(upstream.id),
            )
        )
    return listed


def find_median_interval(
    serving: Sequence[Upstream], states: SamplerStates
) -> float:
    """Return how long most samplers take for an event; 0 if none has shown.

    In seconds; the middle one, as a few may have turned slow.
    """
    paces = sorted(
        pace for each in serving if (pace := states.get(each.id).event_interval)
    )
    return paces[len(paces) // 2] if paces else 0


def sum_slots_by_model(samplers: Sequence[SamplerSlots]) -> dict[str, float]:
    """Return what each model has of the samplers' slots, at the usual pace.

    A sampler of several models is shared by them alike, and one that takes
    twice as long for an event counts for half.
    """
    slots: dict[str, float] = {}
    for sampler in samplers:
        for model in sampler.models:
            share = (
                sampler.slots / sampler.relative_interval / len(sampler.models)
            )
            slots[model] = slots.get(model, 0) + share
    return slots
