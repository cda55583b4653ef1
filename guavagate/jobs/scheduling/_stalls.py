"""Detects unresponsive samplers by their stalled streams; no network access.

Failure pattern: a sampler loses power or is cut off and sends no reset. A
single stream may wait for memory or for a weight load and has to be given
seconds, but the longest texts take nearly all the time of a step, so waiting
makes their step late. Such waits don't stall all streams of a sampler at once:
when several streams stall together for longer than many event intervals, none
of them will continue, and their texts resume on other samplers.
"""

from collections.abc import Sequence
from typing import Final

from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.models import UpstreamId
from guavagate.rollouts import SamplerStates

# The sampler may have preempted a single stalled stream.
MIN_STALLED_STREAMS: Final = 2
# Event intervals without an event that make a stream count as stalled, within
# the bounds below.
STALL_EVENTS: Final = 15
MIN_STALL_SECONDS: Final = 0.5
MAX_STALL_SECONDS: Final = 2.0


def find_unresponsive(
    works: Sequence[JobWork],
    states: SamplerStates,
    event_seconds: float,
    now: float,
) -> dict[UpstreamId, list[ItemProgress]]:
    """Return the running items of each sampler whose streams all stalled.

    Parameters
    ----------
    event_seconds
        The usual event interval; 0 if no sampler has been measured yet.
    """
    running: dict[UpstreamId, list[ItemProgress]] = {}
    for work in works:
        for progress in work.items.values():
            if progress.sampler is not None and progress.task is not None:
                running.setdefault(progress.sampler, []).append(progress)
    expected = event_seconds * STALL_EVENTS
    stall_seconds = min(max(expected, MIN_STALL_SECONDS), MAX_STALL_SECONDS)
    return {
        sampler: items
        for sampler, items in running.items()
        if len(items) >= MIN_STALLED_STREAMS
        and now - max(each.last_event_at for each in items) > stall_seconds
        and not states.get(sampler).loading
    }
