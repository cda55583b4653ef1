"""Authentication and authorisation by bearer token or key, per team.

`Authenticator` checks the tokens of the instance and team settings, `KeyRing`
the keys of the operators' route configuration.
"""

from guavagate.auth._authenticator import Authenticator, Identity
from guavagate.auth._keys import (
    KeyRing,
    KeyState,
    KeyVerdict,
    ProofBounds,
    check_key,
    make_bounds,
    may_deny,
)
from guavagate.auth._tokens import hash_token, make_token

__all__ = (
    'Authenticator',
    'Identity',
    'KeyRing',
    'KeyState',
    'KeyVerdict',
    'ProofBounds',
    'hash_token',
    'check_key',
    'make_bounds',
    'make_token',
    'may_deny',
)
