"""Stores the newest decisions of one instance in bounded memory."""

import collections
import logging
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import routing as events
from guavagate.events import write
from guavagate.helpers.decoding import decode_msgpack
from guavagate.models import InstanceId

_LOGGER = logging.getLogger(__name__)

# 5 MB when full of decisions with five alternatives (docs/adr/0043), and two
# minutes of history at 60 decisions per second.
DEFAULT_CAPACITY: Final = 8192
_ENCODER: Final = msgspec.msgpack.Encoder()
_MAX_TEXT_CHARS: Final = 200
_MAX_ALTERNATIVES: Final = 8


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """One decision with its reason.

    Parameters
    ----------
    at
        Wall-clock time in seconds on the instance that decided.
    subject
        Id of the request, sample, settings revision or view.
    turned_down
        Rejected alternatives with their reasons, at most eight.
    """

    at: float
    instance: InstanceId
    subject: str
    kind: str
    choice: str
    reason: str
    turned_down: dict[str, str] = {}


class RecentDecisions:
    """A ring buffer indexed by subject; implements `runtime.DecisionLog`."""

    def __init__(
        self,
        clock: Clock,
        own_id: InstanceId,
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        self._clock = clock
        self._own_id = own_id
        self._capacity = capacity
        self._ring: collections.deque[str] = collections.deque()
        # Lists, because most subjects have one to three decisions and an empty
        # deque takes 600 bytes.
        self._by_subject: dict[str, list[bytes]] = {}

    def record(
        self,
        subject: str,
        kind: str,
        choice: str,
        reason: str,
        turned_down: dict[str, str] | None = None,
    ) -> None:
        """Store a decision and write its log line."""
        alternatives = list((turned_down or {}).items())[:_MAX_ALTERNATIVES]
        decision = Decision(
            at=self._clock.wall(),
            instance=self._own_id,
            subject=subject[:_MAX_TEXT_CHARS],
            kind=kind,
            choice=choice[:_MAX_TEXT_CHARS],
            reason=reason[:_MAX_TEXT_CHARS],
            turned_down={
                name: why[:_MAX_TEXT_CHARS] for name, why in alternatives
            },
        )
        self._add(decision)
        write(
            _LOGGER,
            events.DECIDED,
            subject=decision.subject,
            kind=kind,
            choice=decision.choice,
            reason=decision.reason,
            turned_down=decision.turned_down,
        )

    def find(self, subject: str) -> list[Decision]:
        """Return the stored decisions about a subject, oldest first."""
        return [
            decode_msgpack(packed, Decision)
            for packed in self._by_subject.get(subject[:_MAX_TEXT_CHARS], ())
        ]

    def __len__(self) -> int:
        """Return how many decisions are stored."""
        return len(self._ring)

    def _add(self, decision: Decision) -> None:
        packed = _ENCODER.encode(decision)
        self._by_subject.setdefault(decision.subject, []).append(packed)
        self._ring.append(decision.subject)
        if len(self._ring) > self._capacity:
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        subject = self._ring.popleft()
        decisions = self._by_subject[subject]
        decisions.pop(0)
        if not decisions:
            self._by_subject.pop(subject)
