"""Mutations that each remove one safeguard of sharing and scaling."""

from typing import Final

from standins._safeguard_rows import Safeguard

CAPACITY_SAFEGUARDS: Final = (
    Safeguard(
        "a new owner keeps the former owner's assignment",
        'guavagate/rollouts/_allocation.py',
        '    if recovered and state.held_until is None:\n',
        '    if False:\n',
        'tests/rollouts/test_assigner.py',
    ),
    Safeguard(
        'few samplers load for moves at a time',
        'guavagate/rollouts/_allocation.py',
        '            if allowed <= 0:\n                break\n',
        '',
        'tests/rollouts/test_capacity.py',
    ),
    Safeguard(
        'no load for items that start before it ends',
        'guavagate/rollouts/_plan.py',
        '        if count_left_waiting(model, samplers, demands[model])\n'
        '        >= BORROW_MIN_WAITING\n',
        '',
        'tests/rollouts/test_borrow.py',
    ),
    Safeguard(
        'short texts end where they are',
        'guavagate/jobs/scheduling/_reclaim.py',
        '    return not remaining or needed > left\n',
        '    return True\n',
        'tests/jobs/scheduling/test_reclaim.py',
    ),
    Safeguard(
        'texts leave a sampler in stages',
        'guavagate/jobs/scheduling/_reclaim.py',
        '        target.free = min(target.free, TEXTS_PER_STAGE)\n',
        '        pass\n',
        'tests/jobs/scheduling/test_reclaim.py',
    ),
    Safeguard(
        'a zone never gets more than its limit between two orders',
        'guavagate/duties/_scaler.py',
        '            if self._orders.fits(key, amount, counts, scaling):\n',
        '            if True:\n',
        'tests/duties/test_reclaims.py',
    ),
    Safeguard(
        "replacements do not become a successor's baseline",
        'guavagate/duties/_scaler.py',
        '                self._baseline[zone] = amount\n',
        '                pass\n',
        'tests/duties/test_reclaims.py',
    ),
    Safeguard(
        'nothing is ordered right after a reclaim',
        'guavagate/duties/_scaler.py',
        '                self._supply.record_reclaim(zone, now)\n',
        '                pass\n',
        'tests/duties/test_reclaims.py',
    ),
)
