"""Samplers that have gone dark, told by all their streams; needs no network.

Load pattern: a sampler loses power or is cut off and sends no reset. Each of
its streams alone might wait for memory, or for a load of weights, and has to be
given seconds; the longest texts take nearly all the time that a step has, and
one that waits for seconds makes its step late. Streams of one sampler do not
all fall silent for that: where several do at once, for longer than many events
take, none of them will go on, and their texts are gone on with elsewhere.
"""

from collections.abc import Sequence
from typing import Final

from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.models import UpstreamId
from guavagate.rollouts import SamplerStates

# One stream that is silent may have been put off by the sampler.
MIN_STALLED_STREAMS: Final = 2
# As many events would have come meanwhile; within these bounds, in seconds.
STALL_EVENTS: Final = 15
MIN_STALL_SECONDS: Final = 0.5
MAX_STALL_SECONDS: Final = 2.0


def find_unresponsive(
    works: Sequence[JobWork],
    states: SamplerStates,
    event_seconds: float,
    now: float,
) -> dict[UpstreamId, list[ItemProgress]]:
    """Return the runs of each sampler whose streams have all fallen silent.

    Parameters
    ----------
    event_seconds
        What an event usually takes; 0 where no sampler has shown it yet.
    """
    runs: dict[UpstreamId, list[ItemProgress]] = {}
    for work in works:
        for progress in work.items.values():
            if progress.sampler is not None and progress.task is not None:
                runs.setdefault(progress.sampler, []).append(progress)
    usual = event_seconds * STALL_EVENTS
    quiet = min(max(usual, MIN_STALL_SECONDS), MAX_STALL_SECONDS)
    return {
        sampler: held
        for sampler, held in runs.items()
        if len(held) >= MIN_STALLED_STREAMS
        and now - max(each.last_event_at for each in held) > quiet
        and not states.get(sampler).loading
    }
