"""The newest decisions of one instance, in bounded memory."""

import collections
import logging
from typing import Final

import msgspec

from guavagate.clock import Clock
from guavagate.events import routing as events
from guavagate.events import write
from guavagate.models import InstanceId

_LOGGER = logging.getLogger(__name__)

# 5 MB when full of decisions with five alternatives (docs/adr/0043), and two
# minutes at 60 decisions a second.
DEFAULT_CAPACITY: Final = 8192
_ENCODER: Final = msgspec.msgpack.Encoder()
_MAX_TEXT: Final = 200
_MAX_TURNED_DOWN: Final = 8


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """One decision with its reason.

    Parameters
    ----------
    at
        Wall-clock seconds on the instance that decided.
    subject
        The id it is about: a request, sample, setting revision or view.
    turned_down
        Each alternative with the reason against it, bounded.
    """

    at: float
    instance: InstanceId
    subject: str
    kind: str
    choice: str
    reason: str
    turned_down: dict[str, str] = {}


class RecentDecisions:
    """Implements `runtime.DecisionLog`: a ring, indexed by subject."""

    def __init__(
        self,
        clock: Clock,
        me: InstanceId,
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        self._clock = clock
        self._me = me
        self._capacity = capacity
        self._ring: collections.deque[str] = collections.deque()
        # Lists: most subjects have one to three decisions, and a deque takes
        # 600 bytes when it is empty.
        self._by_subject: dict[str, list[bytes]] = {}

    def record(
        self,
        subject: str,
        kind: str,
        choice: str,
        reason: str,
        turned_down: dict[str, str] | None = None,
    ) -> None:
        """Keep a decision and write its log line."""
        kept = list((turned_down or {}).items())[:_MAX_TURNED_DOWN]
        decision = Decision(
            at=self._clock.wall(),
            instance=self._me,
            subject=subject[:_MAX_TEXT],
            kind=kind,
            choice=choice[:_MAX_TEXT],
            reason=reason[:_MAX_TEXT],
            turned_down={name: why[:_MAX_TEXT] for name, why in kept},
        )
        self._keep(decision)
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
        """Return what is still known of a subject, oldest first."""
        return [
            msgspec.msgpack.decode(packed, type=Decision)
            for packed in self._by_subject.get(subject[:_MAX_TEXT], ())
        ]

    def __len__(self) -> int:
        """Return how many decisions are kept."""
        return len(self._ring)

    def _keep(self, decision: Decision) -> None:
        packed = _ENCODER.encode(decision)
        self._by_subject.setdefault(decision.subject, []).append(packed)
        self._ring.append(decision.subject)
        if len(self._ring) > self._capacity:
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        subject = self._ring.popleft()
        of_subject = self._by_subject[subject]
        of_subject.pop(0)
        if not of_subject:
            self._by_subject.pop(subject)
