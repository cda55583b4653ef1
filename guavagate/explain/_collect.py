"""Collects the decisions about an id from all instances."""

from typing import Final, Protocol

import msgspec
from gevent.pool import Pool

from guavagate.exceptions import LinkError
from guavagate.explain._recent import Decision, RecentDecisions
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.settings import PeerSettings

_TIMEOUT_SECONDS: Final = 2.0
_MAX_CONCURRENT: Final = 32
_MAX_DECISIONS_PER_INSTANCE: Final = 100


class ExplainAsk(Message, frozen=True, kw_only=True):
    """Requests the decisions about an id."""

    subject: str


class ExplainAnswer(Message, frozen=True, kw_only=True):
    """An instance's decisions about an id; only the newest if too many."""

    decisions: tuple[Decision, ...] = ()
    left_out: int = 0


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """The decisions of all instances about an id.

    Parameters
    ----------
    missing
        Instances that gave no answer, with the reason; their decisions are
        missing.
    left_out
        Number of older decisions that the answers left out.
    """

    subject: str
    decisions: tuple[Decision, ...]
    missing: dict[InstanceId, str]
    left_out: int = 0


class _Members(Protocol):
    def alive(self) -> list[PeerSettings]: ...


class Explainer:
    """Collects decisions from all peers and answers their requests."""

    def __init__(
        self,
        own_id: InstanceId,
        bus: Bus,
        members: _Members,
        recent: RecentDecisions,
    ) -> None:
        self._own_id = own_id
        self._bus = bus
        self._members = members
        self._recent = recent
        bus.register(ExplainAsk, self._handle_request)

    def explain(self, subject: str) -> Explanation:
        """Return all instances' decisions about an id, oldest first."""
        peers = [
            peer.id for peer in self._members.alive() if peer.id != self._own_id
        ]
        results = Pool(_MAX_CONCURRENT).map(
            lambda peer: self._request(peer, subject), peers
        )
        answers = dict(zip(peers, results, strict=True))
        found = [self._make_answer(subject)]
        found += [
            answer
            for answer in answers.values()
            if isinstance(answer, ExplainAnswer)
        ]
        decisions = [
            decision for answer in found for decision in answer.decisions
        ]
        return Explanation(
            subject=subject,
            decisions=tuple(
                sorted(decisions, key=lambda decision: decision.at)
            ),
            missing={
                peer: answer
                for peer, answer in answers.items()
                if isinstance(answer, str)
            },
            left_out=sum(answer.left_out for answer in found),
        )

    def _request(self, peer: InstanceId, subject: str) -> ExplainAnswer | str:
        try:
            return self._bus.request(
                peer,
                ExplainAsk(subject=subject),
                ExplainAnswer,
                _TIMEOUT_SECONDS,
            )
        except LinkError as error:
            return error.problem

    def _make_answer(self, subject: str) -> ExplainAnswer:
        known = self._recent.find(subject)
        return ExplainAnswer(
            decisions=tuple(known[-_MAX_DECISIONS_PER_INSTANCE:]),
            left_out=max(len(known) - _MAX_DECISIONS_PER_INSTANCE, 0),
        )

    def _handle_request(
        self, sender: InstanceId, message: Message
    ) -> ExplainAnswer:
        return self._make_answer(expect(message, ExplainAsk).subject)
