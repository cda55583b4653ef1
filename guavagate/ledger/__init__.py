"""The request ledger runs a keyed request at most once across all entries."""

from guavagate.ledger._keys import digest_body
from guavagate.ledger._ledger import KeyedRequest, Ledger
from guavagate.ledger._messages import Answer, BeginState, LedgerLimits
from guavagate.ledger._state import (
    LedgerSafeguards,
    LedgerState,
    make_ledger_states,
)

__all__ = (
    'Answer',
    'BeginState',
    'Ledger',
    'LedgerLimits',
    'LedgerSafeguards',
    'LedgerState',
    'KeyedRequest',
    'digest_body',
    'make_ledger_states',
)
