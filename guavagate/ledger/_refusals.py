"""Errors that a caller gets when its keyed request is not run."""

from typing import Final

from guavagate.exceptions import PartitionError, RefusalError
from guavagate.ledger._messages import BeginState, LedgerLimits
from guavagate.models import NotRun

_RETRY_AFTER_SECONDS: Final = 2.0
_FULL_RETRY_AFTER_SECONDS: Final = 30.0


def make_refusal(state: BeginState, limits: LedgerLimits) -> RefusalError:
    """Return the refusal for the ledger's decision."""
    return _MAKERS.get(state, _make_unknown)(limits)


def make_unavailable(error: PartitionError) -> RefusalError:
    """Return the refusal for a ledger that does not answer.

    This attempt does not run, but an earlier one with the same key may have.
    Only the ledger could tell, so the refusal does not say "not run".
    """
    return RefusalError(
        f'the request ledger gave no answer ({error.problem})',
        'retry with the same key, which runs at most once',
        reason='ledger_unavailable',
        not_run=NotRun.UNKNOWN,
        retry_after=_RETRY_AFTER_SECONDS,
    )


def _make_unknown(limits: LedgerLimits) -> RefusalError:
    return RefusalError(
        'the outcome of this key can not be known',
        'find out at the upstream whether it ran; then use a new key',
        reason='outcome_unknown',
        status=409,
        not_run=NotRun.UNKNOWN,
    )


def _make_conflict(limits: LedgerLimits) -> RefusalError:
    return RefusalError(
        'this key was used for another request',
        'use a new key for each different request',
        reason='key_reused',
        status=422,
        not_run=NotRun.TRUE,
    )


def _make_full(limits: LedgerLimits) -> RefusalError:
    return RefusalError(
        'the request ledger is full and forgets no key within '
        f'{limits.window:.0f}s',
        'retry later, or raise the ledger size',
        reason='ledger_full',
        not_run=NotRun.TRUE,
        retry_after=_FULL_RETRY_AFTER_SECONDS,
    )


def _make_not_stored(limits: LedgerLimits) -> RefusalError:
    return RefusalError(
        f'it ran and was answered, but bodies over {limits.answer_bytes} B '
        'are not kept',
        'read the result at the upstream',
        reason='answer_not_kept',
        status=409,
        not_run=NotRun.FALSE,
    )


def _make_running(limits: LedgerLimits) -> RefusalError:
    return RefusalError(
        'a request with this key is still running',
        'retry with the same key to get its answer',
        reason='in_progress',
        status=409,
        not_run=NotRun.UNKNOWN,
        retry_after=_RETRY_AFTER_SECONDS,
    )


_MAKERS: Final = {
    BeginState.UNKNOWN: _make_unknown,
    BeginState.ABANDONED: _make_unknown,
    BeginState.CONFLICT: _make_conflict,
    BeginState.FULL: _make_full,
    BeginState.ANSWER_NOT_KEPT: _make_not_stored,
    BeginState.JOINED: _make_running,
}
