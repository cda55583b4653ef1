"""The requests handled lately, so that a repeated one does not run twice."""

import dataclasses
from collections import OrderedDict
from typing import Final

# A silent connection is replaced within a few seconds, and what waited is
# repeated then, so older ids are not needed.
KEPT_SECONDS: Final = 10.0
KEPT_REQUESTS: Final = 10_000
# Larger replies are not kept: a repeat is answered "may have been handled".
KEPT_REPLY_BYTES: Final = 16_384
KEPT_BYTES: Final = 8_000_000

Key = tuple[int, int]


@dataclasses.dataclass(slots=True)
class Handled:
    """One request, running or answered; `identity` is who gets the reply."""

    identity: bytes
    at: float
    done: bool = False
    reply: bytes | None = None


class Memory:
    """Handled requests by the asker's boot and the request's number."""

    def __init__(self) -> None:
        self._entries: OrderedDict[Key, Handled] = OrderedDict()
        self._bytes = 0
        self._forgotten_until = float('-inf')

    def find(self, key: Key) -> Handled | None:
        """Return the request if it has been handled lately."""
        return self._entries.get(key)

    def add(self, key: Key, identity: bytes, now: float) -> Handled:
        """Remember a request that is about to be handled."""
        self._expire(now)
        entry = Handled(identity, now)
        self._entries[key] = entry
        return entry

    def keep(self, entry: Handled, reply: bytes) -> None:
        """Note that a request is answered, and its reply if it is small."""
        entry.done = True
        if len(reply) <= KEPT_REPLY_BYTES:
            entry.reply = reply
            self._bytes += len(reply)

    def may_have_forgotten(self, sent_at: float) -> bool:
        """Return whether a request sent then may be one of those dropped."""
        return sent_at <= self._forgotten_until

    def _expire(self, now: float) -> None:
        while self._entries:
            key = next(iter(self._entries))
            oldest = self._entries[key]
            if oldest.at > now - KEPT_SECONDS and not self._is_full():
                return
            self._entries.pop(key)
            self._bytes -= len(oldest.reply or b'')
            self._forgotten_until = max(self._forgotten_until, oldest.at)

    def _is_full(self) -> bool:
        return len(self._entries) >= KEPT_REQUESTS or self._bytes >= KEPT_BYTES
