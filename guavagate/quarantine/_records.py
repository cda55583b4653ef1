"""Requests that are stopped, as the store holds them."""

from typing import Final

import msgspec

from guavagate.helpers.decoding import decode_json
from guavagate.models import UpstreamId
from guavagate.quarantine._identity import ANY_QUERY, RequestIdentity

STOPPED_REQUESTS: Final = 'stopped-requests'
# After this a request gets another chance: the upstreams may have been mended.
STOP_SECONDS: Final = 86_400.0
_ANY_NAME: Final = 'any'


class StoppedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that no instance sends to an upstream.

    `upstreams` are those that ended under it; `stopped_at` is in Unix time.
    """

    identity: RequestIdentity
    upstreams: tuple[UpstreamId, ...]
    stopped_at: float

    @property
    def name(self) -> str:
        """Return the name of its object in the store."""
        query = self.identity.query
        suffix = _ANY_NAME if query == ANY_QUERY else query
        return f'{self.identity.content}-{suffix}'

    @property
    def path(self) -> str:
        """Return the path of its object in the store."""
        return f'{STOPPED_REQUESTS}/{self.name}'

    def compute_remaining(self, wall: float) -> float:
        """Return for how many more seconds it is stopped, or 0."""
        return max(self.stopped_at + STOP_SECONDS - wall, 0)


def decode_record(value: bytes) -> StoppedRequest:
    """Decode an object of the store; raises `ValueError`."""
    return decode_json(value, StoppedRequest)
