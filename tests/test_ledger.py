"""Tests of the ledger's rules for one key."""

from typing import Any

from guavagate.ledger import (
    Answer,
    BeginState,
    LedgerLimits,
    LedgerState,
)
from guavagate.ledger._messages import Abort, Begin, Expire, Finish
from guavagate.models import InstanceId

_ENTRY = InstanceId('a')


def _begin(
    state: LedgerState, attempt: str, at: float = 0, **more: Any
) -> BeginState:
    """Begin and return what the ledger says."""
    fields = {'scope': 't/c/k', 'digest': 'd', **more}
    command = Begin(at=at, attempt=attempt, entry=_ENTRY, **fields)
    outcome: Any = state.apply(command)
    return outcome.state


def test_a_late_answer_replaces_an_unknown_outcome() -> None:
    """The entry was paused, not dead: its answer comes after all."""
    state = LedgerState()
    assert _begin(state, '1') is BeginState.GRANTED
    assert _begin(state, '2') is BeginState.JOINED
    state.apply(Expire(at=1, scope='t/c/k', attempt='1'))
    assert _begin(state, '3') is BeginState.UNKNOWN
    state.apply(
        Finish(
            at=2,
            scope='t/c/k',
            digest='d',
            attempt='1',
            entry=_ENTRY,
            answer=Answer(status=200, body=b'x'),
        )
    )
    assert _begin(state, '4') is BeginState.ANSWERED
    assert _begin(state, '5', digest='other') is BeginState.CONFLICT


def test_an_abort_that_overtakes_its_begin_still_counts() -> None:
    """The grant would go to nobody; the next attempt runs."""
    state = LedgerState()
    state.apply(Abort(at=0, scope='t/c/k', attempt='1'))
    assert _begin(state, '1') is BeginState.ABANDONED
    assert _begin(state, '2') is BeginState.GRANTED


def test_a_full_ledger_refuses_and_forgets_only_after_the_window() -> None:
    """New keys are refused; a known key is known until its time is over."""
    state = LedgerState(LedgerLimits(window=100, partition_bytes=500))
    assert _begin(state, '1', scope='t/c/1') is BeginState.GRANTED
    assert _begin(state, '2', scope='t/c/2') is BeginState.GRANTED
    assert _begin(state, '3', 99, scope='t/c/3') is BeginState.FULL
    assert _begin(state, '4', 99, scope='t/c/1') is BeginState.JOINED
    assert _begin(state, '5', 101, scope='t/c/3') is BeginState.GRANTED


def test_a_freed_key_is_granted_anew_and_remembers_its_abort() -> None:
    """The attempt that was aborted may not run any more, another may.

    Its repeated `Begin` can still be on its way when the key is free again.
    """
    state = LedgerState()
    assert _begin(state, '1') is BeginState.GRANTED
    state.apply(Abort(at=1, scope='t/c/k', attempt='1'))
    assert _begin(state, '1') is BeginState.ABANDONED
    assert _begin(state, '2') is BeginState.GRANTED
    assert _begin(state, '3') is BeginState.JOINED


def test_a_snapshot_makes_an_equal_copy() -> None:
    """A new holder says the same as the one before."""
    state, other = LedgerState(), LedgerState()
    _begin(state, '1', 1.5)
    other.restore(state.snapshot())
    assert other.snapshot() == state.snapshot()
    assert _begin(other, '2') is BeginState.JOINED
