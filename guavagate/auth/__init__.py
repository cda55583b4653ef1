"""Bearer tokens by team: who calls, and what that token allows.

`Access` knows the tokens of the product's own settings, `KeyRing` the keys of
the operators' configuration of routes.
"""

from guavagate.auth._access import Access, Identity
from guavagate.auth._keys import (
    KeyRing,
    KeyState,
    KeyVerdict,
    ProofBounds,
    judge_key,
    make_bounds,
    may_deny,
)
from guavagate.auth._tokens import hash_token, make_token

__all__ = (
    'Access',
    'Identity',
    'KeyRing',
    'KeyState',
    'KeyVerdict',
    'ProofBounds',
    'hash_token',
    'judge_key',
    'make_bounds',
    'make_token',
    'may_deny',
)
