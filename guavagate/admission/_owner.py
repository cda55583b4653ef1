"""Serves the queues of the services for which this instance is asked.

Any instance that is asked serves: two instances whose views of the members
differ grant up to twice the slots for a moment, and the upstreams refuse or
queue the rest as they do without an owner.
"""

import random
from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.admission._grants import Ask, GrantQueue, Verdict
from guavagate.admission._messages import (
    AdmissionReply,
    AdmissionVerdict,
    AskAdmission,
    AskState,
    ReleaseAdmission,
)
from guavagate.clock import Clock
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId, ServiceId, UpstreamId

# Between two looks at requests that wait too long or grants that ended.
TICK_SECONDS: Final = 0.02

CountSlots = Callable[[ServiceId], dict[UpstreamId, int]]
OnVerdict = Callable[[AdmissionVerdict], None]


class _Served(msgspec.Struct):
    """A service's queue, and the entries whose requests wait in it."""

    queue: GrantQueue
    entries: dict[str, InstanceId] = {}
    ticking: bool = False


class AdmissionOwner:
    """Queues requests of entries and sends them its verdicts.

    Parameters
    ----------
    count_slots
        Returns how many requests each upstream of a service runs at once.
    on_verdict
        Called with the verdicts on this instance's own requests.
    """

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        me: InstanceId,
        count_slots: CountSlots,
        on_verdict: OnVerdict,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._me = me
        self._count_slots = count_slots
        self._on_verdict = on_verdict
        self._random = rng
        self._services: dict[ServiceId, _Served] = {}
        bus.register(AskAdmission, self._on_ask)
        bus.register(ReleaseAdmission, self._on_release)

    @property
    def waiting(self) -> int:
        """Return how many requests wait here."""
        return sum(each.queue.waiting for each in self._services.values())

    def ask(self, entry: InstanceId, message: AskAdmission) -> AdmissionReply:
        """Queue a request of an entry; return its state."""
        served = self._services.get(message.service)
        if served is None:
            served = _Served(GrantQueue(self._random))
            self._services[message.service] = served
        queue = served.queue
        queue.slots = self._count_slots(message.service)
        now = self._clock.now()
        ask = Ask(
            id=message.id,
            team=message.team,
            priority=message.priority,
            deadline=now + message.left,
            objective=message.objective,
        )
        served.entries[ask.id] = entry
        own: Verdict | None = None
        for verdict in queue.offer(ask, now):
            if verdict.id == ask.id:
                own = verdict
                served.entries.pop(ask.id, None)
            else:
                self._send(message.service, served, verdict)
        self._tick_while_waiting(message.service, served)
        return _make_reply(own, contended=queue.is_contended)

    def release(self, message: ReleaseAdmission) -> None:
        """End a grant, or withdraw a request that waits."""
        served = self._services.get(message.service)
        if served is None:
            return
        served.entries.pop(message.id, None)
        served.queue.release(
            message.id, self._clock.now(), refused=message.refused
        )
        self._advance(message.service, served)

    def _on_ask(self, entry: InstanceId, message: Message) -> AdmissionReply:
        return self.ask(entry, expect(message, AskAdmission))

    def _on_release(self, _: InstanceId, message: Message) -> None:
        self.release(expect(message, ReleaseAdmission))

    def _advance(self, service: ServiceId, served: _Served) -> None:
        for verdict in served.queue.advance(self._clock.now()):
            self._send(service, served, verdict)

    def _send(
        self, service: ServiceId, served: _Served, verdict: Verdict
    ) -> None:
        entry = served.entries.pop(verdict.id, None)
        message = AdmissionVerdict(
            service=service,
            id=verdict.id,
            granted=verdict.granted,
            upstream=verdict.upstream,
            retry_after=verdict.retry_after,
            reason=verdict.reason,
        )
        if entry == self._me:
            self._on_verdict(message)
        elif entry is not None:
            self._bus.send(entry, message)

    def _tick_while_waiting(self, service: ServiceId, served: _Served) -> None:
        if served.queue.waiting and not served.ticking:
            served.ticking = True
            self._clock.spawn(self._tick, service, served)

    def _tick(self, service: ServiceId, served: _Served) -> None:
        while served.queue.waiting:
            self._clock.sleep(TICK_SECONDS)
            served.queue.slots = self._count_slots(service)
            self._advance(service, served)
        served.ticking = False


def _make_reply(verdict: Verdict | None, *, contended: bool) -> AdmissionReply:
    if verdict is None:
        return AdmissionReply(state=AskState.QUEUED, contended=True)
    if verdict.granted:
        return AdmissionReply(
            state=AskState.GRANTED,
            upstream=verdict.upstream,
            contended=contended,
        )
    return AdmissionReply(
        state=AskState.REFUSED,
        retry_after=verdict.retry_after,
        reason=verdict.reason,
        contended=True,
    )
