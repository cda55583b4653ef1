"""Tokens and their hashes.

A token is 256 random bits, so one round of SHA-256 keeps it: there is nothing
to guess, and a slow hash (scrypt) would cost each request milliseconds for no
gain. A slow hash is for secrets that people choose.
"""

import hashlib
import hmac
import secrets
from typing import Final

_PREFIX: Final = 'gg_'
_RANDOM_BYTES: Final = 32
_SCHEME: Final = 'bearer'
_MAX_TOKEN: Final = 512


def make_token() -> str:
    """Return a new token; it is shown once and never stored."""
    return _PREFIX + secrets.token_urlsafe(_RANDOM_BYTES)


def hash_token(token: str) -> str:
    """Return the hash that settings hold."""
    return f'sha256:{hashlib.sha256(token.encode()).hexdigest()}'


def read_bearer(authorization: str | None) -> str | None:
    """Return the token of an ``Authorization`` header, or nothing.

    The scheme's case does not count. What is far longer than any token is
    none, and is not hashed.
    """
    scheme, _, token = (authorization or '').partition(' ')
    token = token.strip()
    if scheme.lower() != _SCHEME or not token or len(token) > _MAX_TOKEN:
        return None
    return token


def is_same_hash(left: str, right: str) -> bool:
    """Return whether two hashes are equal, in constant time."""
    return hmac.compare_digest(left.encode(), right.encode())
