"""Mutations that each remove one safeguard of the sharing of samplers."""

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
)
