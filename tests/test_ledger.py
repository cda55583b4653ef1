"""Tests of the ledger's state."""

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
    """Apply a `Begin` and return the ledger's decision."""
    fields = {'scope': 't/c/k', 'digest': 'd', **more}
    command = Begin(at=at, attempt=attempt, entry=_ENTRY, **fields)
    outcome: Any = state.apply(command)
    return outcome.state


def test_a_late_answer_replaces_an_unknown_outcome() -> None:
    """The entry was only paused, and its answer arrives late."""
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


def test_an_abort_before_its_begin_prevents_the_grant() -> None:
    """The aborted attempt will not run; the next attempt is granted."""
    state = LedgerState()
    state.apply(Abort(at=0, scope='t/c/k', attempt='1'))
    assert _begin(state, '1') is BeginState.ABANDONED
    assert _begin(state, '2') is BeginState.GRANTED


def test_a_full_ledger_refuses_new_keys_until_the_window_ends() -> None:
    """New keys are refused; known keys stay until their window ends."""
    state = LedgerState(LedgerLimits(window=100, partition_bytes=500))
    assert _begin(state, '1', scope='t/c/1') is BeginState.GRANTED
    assert _begin(state, '2', scope='t/c/2') is BeginState.GRANTED
    assert _begin(state, '3', 99, scope='t/c/3') is BeginState.FULL
    assert _begin(state, '4', 99, scope='t/c/1') is BeginState.JOINED
    assert _begin(state, '5', 101, scope='t/c/3') is BeginState.GRANTED


def test_an_aborted_attempt_is_not_granted_on_a_released_key() -> None:
    """An aborted attempt must not run, but another attempt may.

    A repeated `Begin` of the aborted attempt can arrive after the release.
    """
    state = LedgerState()
    assert _begin(state, '1') is BeginState.GRANTED
    state.apply(Abort(at=1, scope='t/c/k', attempt='1'))
    assert _begin(state, '1') is BeginState.ABANDONED
    assert _begin(state, '2') is BeginState.GRANTED
    assert _begin(state, '3') is BeginState.JOINED


def test_a_snapshot_restores_an_equal_state() -> None:
    """A new holder decides the same as the previous one."""
    state, other = LedgerState(), LedgerState()
    _begin(state, '1', 1.5)
    other.restore(state.snapshot())
    assert other.snapshot() == state.snapshot()
    assert _begin(other, '2') is BeginState.JOINED
