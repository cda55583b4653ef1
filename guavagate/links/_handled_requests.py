"""Recently handled requests, so that a resent one does not run twice."""

import dataclasses
from collections import OrderedDict
from typing import Final

# A stalled connection is replaced within a few seconds, and its pending
# requests are resent then, so older ids are not needed.
RETENTION_SECONDS: Final = 10.0
MAX_REQUESTS: Final = 10_000
# Larger replies are not stored; a resent request then fails with the error
# that it may have been handled.
MAX_REPLY_BYTES: Final = 16_384
MAX_TOTAL_BYTES: Final = 8_000_000

Key = tuple[int, int]


@dataclasses.dataclass(slots=True)
class HandledRequest:
    """A running or answered request.

    `identity` is the zmq routing id of the connection that gets the reply.
    """

    identity: bytes
    accepted_at: float
    done: bool = False
    reply: bytes | None = None


class HandledRequests:
    """Stores handled requests by the sender's boot and request number."""

    def __init__(self) -> None:
        self._requests: OrderedDict[Key, HandledRequest] = OrderedDict()
        self._bytes = 0
        self._dropped_until = float('-inf')

    def find(self, key: Key) -> HandledRequest | None:
        """Return the request if it was handled recently."""
        return self._requests.get(key)

    def add(self, key: Key, identity: bytes, now: float) -> HandledRequest:
        """Store a request that is about to be handled."""
        self._expire(now)
        request = HandledRequest(identity, now)
        self._requests[key] = request
        return request

    def record_reply(self, request: HandledRequest, reply: bytes) -> None:
        """Mark a request as answered, and store its reply if it is small."""
        request.done = True
        if len(reply) <= MAX_REPLY_BYTES:
            request.reply = reply
            self._bytes += len(reply)

    def may_have_dropped(self, sent_at: float) -> bool:
        """Return whether a request sent at this time may have been dropped."""
        return sent_at <= self._dropped_until

    def _expire(self, now: float) -> None:
        while self._requests:
            key = next(iter(self._requests))
            oldest = self._requests[key]
            if (
                oldest.accepted_at > now - RETENTION_SECONDS
                and not self._is_full()
            ):
                return
            self._requests.pop(key)
            self._bytes -= len(oldest.reply or b'')
            self._dropped_until = max(self._dropped_until, oldest.accepted_at)

    def _is_full(self) -> bool:
        return (
            len(self._requests) >= MAX_REQUESTS
            or self._bytes >= MAX_TOTAL_BYTES
        )
