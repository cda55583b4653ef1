"""Collects what is known of an id from all instances."""

from typing import Final, Protocol

import msgspec
from gevent.pool import Pool

from guavagate.exceptions import LinkError
from guavagate.explain._recent import Decision, RecentDecisions
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.settings import PeerSettings

_TIMEOUT: Final = 2.0
_AT_ONCE: Final = 32
_MAX_EACH: Final = 100


class ExplainAsk(Message, frozen=True, kw_only=True):
    """Asks what is known of an id."""

    subject: str


class ExplainAnswer(Message, frozen=True, kw_only=True):
    """What an instance knows of an id, the newest when it is too much."""

    decisions: tuple[Decision, ...] = ()
    left_out: int = 0


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """All that is known of an id.

    Parameters
    ----------
    missing
        Instances that gave no answer, with the reason: what they decided may
        be lacking here.
    left_out
        Older decisions that the answers had no room for.
    """

    subject: str
    decisions: tuple[Decision, ...]
    missing: dict[InstanceId, str]
    left_out: int = 0


class _Members(Protocol):
    def alive(self) -> list[PeerSettings]: ...


class Explainer:
    """Answers peers, and asks them all."""

    def __init__(
        self,
        me: InstanceId,
        bus: Bus,
        members: _Members,
        recent: RecentDecisions,
    ) -> None:
        self._me = me
        self._bus = bus
        self._members = members
        self._recent = recent
        bus.register(ExplainAsk, self._handle_ask)

    def explain(self, subject: str) -> Explanation:
        """Return every instance's decisions about an id, oldest first."""
        peers = [
            peer.id for peer in self._members.alive() if peer.id != self._me
        ]
        asked = Pool(_AT_ONCE).map(lambda peer: self._ask(peer, subject), peers)
        answers = dict(zip(peers, asked, strict=True))
        found = [self._answer(subject)]
        found += [
            answer
            for answer in answers.values()
            if isinstance(answer, ExplainAnswer)
        ]
        decisions = [each for answer in found for each in answer.decisions]
        return Explanation(
            subject=subject,
            decisions=tuple(sorted(decisions, key=lambda each: each.at)),
            missing={
                peer: answer
                for peer, answer in answers.items()
                if isinstance(answer, str)
            },
            left_out=sum(answer.left_out for answer in found),
        )

    def _ask(self, peer: InstanceId, subject: str) -> ExplainAnswer | str:
        try:
            return self._bus.request(
                peer, ExplainAsk(subject=subject), ExplainAnswer, _TIMEOUT
            )
        except LinkError as error:
            return error.problem

    def _answer(self, subject: str) -> ExplainAnswer:
        known = self._recent.find(subject)
        return ExplainAnswer(
            decisions=tuple(known[-_MAX_EACH:]),
            left_out=max(len(known) - _MAX_EACH, 0),
        )

    def _handle_ask(
        self, sender: InstanceId, message: Message
    ) -> ExplainAnswer:
        return self._answer(expect(message, ExplainAsk).subject)
