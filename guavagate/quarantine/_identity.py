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
# Stands for every query, also for none.
ANY_QUERY: Final = '*'


class RequestIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Digests of a request; equal for each repetition of it.

    Attributes
    ----------
    path
        Digest of the team, the host and the path.
    content
        Digest of the team, the method, the host, the path and the body.
    query
        Digest of the query, '' if there is none, or `ANY_QUERY`. It is not
        part of the content, because a caller may vary it between repetitions.
    """

    path: str
    content: str
    query: str = ''

    def covers(self, other: 'RequestIdentity') -> bool:
        """Return whether this is the other request, or any query of it."""
        if self.content != other.content:
            return False
        return self.query in {ANY_QUERY, other.query}


class RequestContent(msgspec.Struct, frozen=True, kw_only=True):
    """What a request is, whatever its id; `team` may be ''."""

    team: TeamId
    method: str
    host: str
    target: str
    body: bytes

    def digest_path(self) -> str:
        """Return the digest of the path alone, which needs no body."""
        return _digest(_PATH_BYTES, *self._get_place())

    def identify(self) -> RequestIdentity:
        """Return the identity of the request."""
        query = self.target.partition('?')[2]
        return RequestIdentity(
            path=self.digest_path(),
            content=_digest(
                _CONTENT_BYTES,
                *self._get_place(),
                self.method,
                body=self.body,
            ),
            query=_digest(_QUERY_BYTES, query) if query else '',
        )

    def _get_place(self) -> tuple[str, str, str]:
        return self.team, self.host.lower(), self.target.partition('?')[0]


def _digest(size: int, *parts: str, body: bytes = b'') -> str:
    """Return a digest in which the borders between the parts count."""
    digest = blake2b(digest_size=size)
    for part in parts:
        encoded = part.encode('utf-8', 'surrogateescape')
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
