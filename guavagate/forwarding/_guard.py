"""Decides whether a request may be sent to an upstream of a service.

Failure pattern: one request ends each upstream that runs it. Three ends are
needed to know that it is the cause, and a service may have just three
upstreams, so all its callers would be refused until one is back. A request
under which two have ended is therefore kept from the last one that is left.
The ended ones are back in seconds, and the next repetition ends only one of
them. A request whose upstreams ended by chance is served then.
"""

import math

import msgspec

from guavagate.forwarding._outcome import Outcome, OutcomeKind
from guavagate.models import ServiceId
from guavagate.ports.dialect import Call
from guavagate.quarantine import Quarantine
from guavagate.routing import UpstreamTable


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request may not be sent now, and for how many seconds.

    `stopped` means that the fleet has stopped it, not only this service.
    """

    reason: str
    seconds: float
    stopped: bool = False

    def make_outcome(self, *, ran: bool) -> Outcome:
        """Return the outcome; `ran` tells whether an attempt had started."""
        return Outcome(
            OutcomeKind.UNKNOWN if ran else OutcomeKind.NOT_RUN,
            reason=self.reason,
            retry_after=math.ceil(self.seconds),
            stopped=self.stopped,
        )


class RequestGuard:
    """Checks requests against what upstreams have ended under them."""

    def __init__(
        self, quarantine: Quarantine, upstreams: UpstreamTable
    ) -> None:
        self._quarantine = quarantine
        self._upstreams = upstreams

    def check(self, call: Call, service: ServiceId) -> Refusal | None:
        """Return why a request may not be sent now, or `None`."""
        if call.owed:
            return None
        stopped = self._quarantine.find(call.content)
        if stopped is not None:
            count = len(stopped.upstreams)
            return Refusal(
                reason=f'{count} upstreams ended under this request',
                seconds=self._quarantine.compute_wait(stopped),
                stopped=True,
            )
        wait = self._upstreams.compute_return_wait(service)
        if wait and self._quarantine.is_suspect(call.content):
            return Refusal(
                reason='one upstream is left, others ended under this request',
                seconds=wait,
            )
        return None

    def record_answer(self, call: Call) -> None:
        """Record that an upstream answered a request and did not end."""
        self._quarantine.record_answer(call.content)
