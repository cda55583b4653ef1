"""Recognizes a request that returns under another id."""

from hashlib import blake2b
from typing import Final

import msgspec

from guavagate.models import TeamId

_PATH_BYTES: Final = 8
# Callers choose the content, and none must be able to make two requests that
# are taken for one.
_CONTENT_BYTES: Final = 16
_QUERY_BYTES: Final = 8


class RequestIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Digests of a request; equal for each repetition of it.

    Attributes
    ----------
    path
        Digest of the team, the host and the path.
    content
        Digest of the team, the method, the host, the path and the body.
    query
        Digest of the query, or '' if there is none. It is not part of the
        content, because a caller may vary it between repetitions.
    """

    path: str
    content: str
    query: str = ''


def identify(
    team: TeamId, method: str, host: str, target: str, body: bytes
) -> RequestIdentity:
    """Return the identity of a request of a team; `team` may be ''."""
    path, _, query = target.partition('?')
    place = (team, host.lower(), path)
    return RequestIdentity(
        path=_digest(_PATH_BYTES, *place),
        content=_digest(_CONTENT_BYTES, *place, method, body=body),
        query=_digest(_QUERY_BYTES, query) if query else '',
    )


def _digest(size: int, *parts: str, body: bytes = b'') -> str:
    """Return a digest in which the borders between the parts count."""
    digest = blake2b(digest_size=size)
    for part in parts:
        encoded = part.encode('utf-8', 'surrogateescape')
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
