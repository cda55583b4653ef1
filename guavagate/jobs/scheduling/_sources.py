"""Lists samplers that texts may leave, but that get no others.

The texts that run in an evacuated zone may end there. One of them moves as
from any other sampler, if a free slot elsewhere ends it sooner.
"""

from guavagate.jobs.scheduling._schedule import SamplerSlots
from guavagate.models import ServiceId
from guavagate.rollouts import SamplerStates
from guavagate.routing import UpstreamTable


def list_sources(
    service: ServiceId,
    upstreams: UpstreamTable,
    states: SamplerStates,
    median: float,
    default_slots: int,
) -> list[SamplerSlots]:
    """Return a service's samplers in evacuated zones that run texts.

    Parameters
    ----------
    median
        The median event interval of the samplers that may be used.
    default_slots
        Slots of a sampler that doesn't report how many it has.
    """
    evacuated = upstreams.eligibility.evacuated
    if not evacuated:
        return []
    listed = []
    for upstream in upstreams.registered():
        if upstream.service != service or upstream.zone not in evacuated:
            continue
        state = states.get(upstream.id)
        interval = state.event_interval
        if state.in_flight:
            listed.append(
                SamplerSlots(
                    id=upstream.id,
                    versions={},
                    free=0,
                    slots=upstream.slots or default_slots,
                    relative_interval=interval / median
                    if median and interval
                    else 1.0,
                    measured=interval > 0,
                )
            )
    return listed
