"""Decides whether a request may be sent to an upstream of a service.

Failure pattern: one request ends each upstream that runs it. Three ends are
needed to know that it is the cause, and a service may have just three
upstreams, so all its callers would be refused until one is back. A request
under which two have ended is therefore kept from the last one that is left.
The ended ones are back in seconds, and the next repetition ends only one of
them. A request whose upstreams ended by chance is served then.
"""

import math

from guavagate.forwarding._outcome import Outcome, OutcomeKind
from guavagate.models import ServiceId
from guavagate.ports.dialect import Call
from guavagate.quarantine import Quarantine, StoppedRequest
from guavagate.routing import UpstreamTable


class RequestGuard:
    """Checks requests against what upstreams have ended under them."""

    def __init__(
        self, quarantine: Quarantine, upstreams: UpstreamTable
    ) -> None:
        self._quarantine = quarantine
        self._upstreams = upstreams

    def check(
        self, call: Call, service: ServiceId, *, ran: bool
    ) -> Outcome | None:
        """Return how a request ends that may not be sent, or `None`.

        Parameters
        ----------
        ran
            Whether an attempt has started before.
        """
        stopped = self._quarantine.find(call.content)
        if stopped is not None:
            wait = self._quarantine.compute_wait(stopped)
            return _make_stopped_outcome(stopped, wait, ran=ran)
        wait = self._upstreams.compute_return_wait(service)
        if wait and self._quarantine.is_suspect(call.content):
            return Outcome(
                OutcomeKind.UNKNOWN if ran else OutcomeKind.NOT_RUN,
                reason='one upstream is left, others ended under this request',
                retry_after=math.ceil(wait),
            )
        return None

    def record_answer(self, call: Call) -> None:
        """Record that an upstream answered a request and did not end."""
        self._quarantine.record_answer(call.content)


def _make_stopped_outcome(
    stopped: StoppedRequest, wait: float, *, ran: bool
) -> Outcome:
    return Outcome(
        OutcomeKind.UNKNOWN if ran else OutcomeKind.NOT_RUN,
        reason=f'{len(stopped.upstreams)} upstreams ended under this request',
        retry_after=math.ceil(wait),
        stopped=True,
    )
