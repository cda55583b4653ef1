"""Tokens and their hashes.

A token is 256 random bits, so one round of SHA-256 protects it: it can't be
guessed, and a slow hash (scrypt) would cost each request milliseconds for no
gain. Slow hashes are for secrets that people choose.
"""

import hashlib
import hmac
import secrets
from typing import Final

_PREFIX: Final = 'gg_'
_RANDOM_BYTES: Final = 32
_SCHEME: Final = 'bearer'
_MAX_TOKEN_LENGTH: Final = 512


def make_token() -> str:
    """Return a new token; it is shown once and never stored."""
    return _PREFIX + secrets.token_urlsafe(_RANDOM_BYTES)


def hash_token(token: str) -> str:
    """Return the hash of a token as stored in settings."""
    return f'sha256:{hashlib.sha256(token.encode()).hexdigest()}'


def read_bearer(authorization: str | None) -> str | None:
    """Return the token of an ``Authorization`` header, if it has one.

    The scheme is case-insensitive. A value longer than `_MAX_TOKEN_LENGTH` is
    rejected without being hashed.
    """
    scheme, _, token = (authorization or '').partition(' ')
    token = token.strip()
    if scheme.lower() != _SCHEME or not token or len(token) > _MAX_TOKEN_LENGTH:
        return None
    return token


def is_same_hash(left: str, right: str) -> bool:
    """Return whether two hashes are equal, in constant time."""
    return hmac.compare_digest(left.encode(), right.encode())
