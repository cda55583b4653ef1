"""Mutations of what places and moves long texts, and of engine memory."""

from typing import Final

from standins._safeguard_rows import Safeguard

TEXT_SAFEGUARDS: Final = (
    Safeguard(
        'a text longer than most is a long one',
        'guavagate/jobs/scheduling/_lengths.py',
        'longer = ordered[bisect_right(ordered, done) :]',
        'longer = ordered',
        'tests/jobs/scheduling/test_lengths.py',
    ),
    Safeguard(
        'estimates worse than the usual length are ignored',
        'guavagate/jobs/scheduling/_lengths.py',
        'return error <= usual',
        'return True',
        'tests/jobs/scheduling/test_lengths.py',
    ),
    Safeguard(
        'a late read changes no event interval',
        'guavagate/jobs/texts/_event_interval.py',
        'interval = (times[second] - times[first]) / (second - first)',
        'pass',
        'tests/jobs/texts/test_event_interval.py',
    ),
    Safeguard(
        'longer waiting items start before a move',
        'guavagate/jobs/scheduling/_moves.py',
        '        if len(longer) >= sum(free):\n            continue\n',
        '',
        'tests/jobs/scheduling/test_moves.py',
    ),
    Safeguard(
        'a text of a spare group is not urgent',
        'guavagate/jobs/scheduling/_moves.py',
        '        if not self.work.is_wanted(self.progress.item.group):\n'
        '            return False\n',
        '',
        'tests/jobs/scheduling/test_moves.py',
    ),
    Safeguard(
        'a sampler not yet measured may be a slow one',
        'guavagate/jobs/scheduling/_moves.py',
        'return sampler.relative_interval + UNMEASURED_COST',
        'return sampler.relative_interval',
        'tests/jobs/scheduling/test_moves.py',
    ),
    Safeguard(
        'the slot of a move stays reserved',
        'guavagate/jobs/scheduling/_slots.py',
        'used = state.in_flight + reserved.get(upstream.id, 0)',
        'used = state.in_flight',
        'tests/jobs/scheduling/test_moves.py',
    ),
    Safeguard(
        'equal samplers are chosen by idle connection',
        'guavagate/jobs/scheduling/_schedule.py',
        'if sampler.idle_connections:',
        'if False:',
        'tests/jobs/scheduling/test_placement.py',
    ),
    Safeguard(
        'a text is placed only where its memory fits',
        'guavagate/jobs/scheduling/_schedule.py',
        'for each in usable if each.memory.fits(memory)',
        'for each in usable',
        'tests/jobs/scheduling/test_memory.py',
    ),
    Safeguard(
        'a sampler without texts accepts any item',
        'guavagate/jobs/scheduling/_memory.py',
        'if not (self.capacity and self.texts):',
        'if not self.capacity:',
        'tests/jobs/scheduling/test_memory.py',
    ),
    Safeguard(
        'a shared prompt counts once',
        'guavagate/jobs/scheduling/_memory.py',
        '            if each.id not in self.prefixes\n',
        '',
        'tests/jobs/scheduling/test_memory.py',
    ),
    Safeguard(
        'a text of unknown length reserves a share at most',
        'guavagate/jobs/scheduling/_memory.py',
        'limit = min(limit, max(share - prompt, done * tokens_per_event))',
        'pass',
        'tests/jobs/scheduling/test_memory.py',
    ),
    Safeguard(
        'a move reserves memory at both samplers',
        'guavagate/jobs/scheduling/_memory.py',
        'for sampler in (progress.sampler, progress.move_target):',
        'for sampler in (progress.sampler,):',
        'tests/jobs/scheduling/test_memory.py',
    ),
    Safeguard(
        'a sampler is drained for a large text',
        'guavagate/jobs/scheduling/_schedule.py',
        'min(usable, key=lambda each: each.memory.reserved_share).free = 0',
        'pass',
        'tests/jobs/scheduling/test_memory.py',
    ),
)
