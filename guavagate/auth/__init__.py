"""Bearer tokens by team: who calls, and what that token allows."""

from guavagate.auth._access import Access, Identity
from guavagate.auth._tokens import hash_token, make_token

__all__ = ('Access', 'Identity', 'hash_token', 'make_token')
