"""Asks the queue owner before a request of a saturated service is sent.

While a service has room, nothing is asked and nothing is delayed. An owner that
does not answer in time is not asked again for a while, and requests go on
without it: the upstreams refuse what they can't take, as before.
"""

import logging
import random
import secrets
from collections.abc import Callable
from typing import Final

import msgspec
from gevent.event import Event

from guavagate.admission._messages import (
    AdmissionReply,
    AdmissionVerdict,
    AskAdmission,
    AskState,
    ReleaseAdmission,
)
from guavagate.admission._owner import AdmissionOwner
from guavagate.admission._saturation import Saturation, UpstreamLoad
from guavagate.clock import Clock
from guavagate.events import admission as events
from guavagate.events import write
from guavagate.exceptions import LinkError
from guavagate.helpers.waits import wait_for
from guavagate.http1 import Exchange
from guavagate.links import Bus, Message, expect
from guavagate.metrics import Metrics, names
from guavagate.models import InstanceId, ServiceId, TeamId, UpstreamId
from guavagate.ports.configuration import Route, RouteKind
from guavagate.ports.dialect import Call
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.runtime import Members
from guavagate.util.rendezvous import rank

_LOGGER: Final = logging.getLogger(__name__)
_UNARY_KINDS: Final = frozenset(
    (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT)
)

# Share of the objective within which the owner replies.
REPLY_SHARE: Final = 0.05
MIN_REPLY_SECONDS: Final = 0.002
# Share of the objective after which an entry whose request waits asks again:
# the verdict may be lost, or the owner.
RECHECK_SHARE: Final = 0.5
MIN_RECHECK_SECONDS: Final = 0.05
# An owner that did not reply is not asked for so long.
SILENCE_SECONDS: Final = 0.25
# Assumed for an upstream if neither it nor its service has a number of slots.
DEFAULT_SLOTS: Final = 4


class Permission(msgspec.Struct):
    """Whether a request may be sent.

    It goes to `upstream` first, if one is named. Call `release` when it has
    ended, with whether it was refused as full.
    `without_owner` means that the queue owner did not reply.
    """

    granted: bool = True
    upstream: UpstreamId | None = None
    without_owner: bool = False
    caller_left: bool = False
    retry_after: float = 0
    reason: str = ''
    release: Callable[[bool], None] = lambda _: None


_FREE: Final = Permission()


class _Pending(msgspec.Struct):
    """A request that waits for the owner's verdict."""

    changed: Event
    verdict: AdmissionVerdict | None = None


class ServiceAdmission:
    """Asks for permission while a service is saturated."""

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        members: Members,
        me: InstanceId,
        routes: RouteTable,
        upstreams: UpstreamTable,
        metrics: Metrics,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._members = members
        self._me = me
        self._routes = routes
        self._upstreams = upstreams
        self._metrics = metrics
        self._states: dict[ServiceId, Saturation] = {}
        self._pending: dict[str, _Pending] = {}
        self._silent_until: dict[InstanceId, float] = {}
        self._prefix = f'{me}/{secrets.token_hex(4)}'
        self._count = 0
        self._owner = AdmissionOwner(
            clock,
            bus,
            me,
            self._count_slots,
            self._record_verdict,
            rng or random.Random(),
        )
        bus.register(AdmissionVerdict, self._on_verdict)
        metrics.add_refresher(self._refresh)

    def enter(
        self, exchange: Exchange, call: Call, route: Route, service: ServiceId
    ) -> Permission:
        """Return whether a request may be sent; may wait for the owner."""
        if route.kind not in _UNARY_KINDS or not self._is_plain(service):
            return _FREE
        now = self._clock.now()
        state = self._states.setdefault(service, Saturation())
        if state.check_reports(self._list_loads(service), now):
            write(_LOGGER, events.SERVICE_SATURATED, service=service)
        if not state.is_saturated(now):
            return _FREE
        return self._ask(exchange, call, route, service)

    def record_refusal(self, service: ServiceId) -> bool:
        """Record that no upstream took a request.

        Returns
        -------
        Whether the upstreams report that they are full, so that the request may
        wait for a slot.
        """
        now = self._clock.now()
        fresh = [
            each for each in self._list_loads(service) if each.is_fresh(now)
        ]
        full = any(each.is_full(now) for each in fresh)
        if not self._is_plain(service) or (fresh and not full):
            return False
        state = self._states.setdefault(service, Saturation())
        if state.record_sign(now):
            write(_LOGGER, events.SERVICE_SATURATED, service=service)
        return full

    def _ask(
        self, exchange: Exchange, call: Call, route: Route, service: ServiceId
    ) -> Permission:
        self._count += 1
        id_ = f'{self._prefix}/{self._count}'
        owner = self._find_owner(service)
        pending = _Pending(Event())
        self._pending[id_] = pending
        exchange.on_disconnect(pending.changed.set)
        try:
            reply = self._wait(exchange, call, route, service, owner, id_)
        finally:
            self._pending.pop(id_, None)
            exchange.on_disconnect(None)

        def release(refused: bool) -> None:
            self._release(owner, service, id_, refused=refused)

        if exchange.must_end:
            release(refused=False)
            return Permission(granted=False, caller_left=True)
        result = 'unreachable' if reply is None else reply.state.value
        self._metrics.count(names.ADMISSIONS, result=result)
        if reply is not None and reply.state is AskState.REFUSED:
            return Permission(
                granted=False,
                retry_after=reply.retry_after,
                reason=reply.reason,
            )
        return Permission(
            upstream=None if reply is None else reply.upstream,
            without_owner=reply is None,
            release=release,
        )

    def _wait(
        self,
        exchange: Exchange,
        call: Call,
        route: Route,
        service: ServiceId,
        owner: InstanceId,
        id_: str,
    ) -> AdmissionReply | None:
        """Return the owner's final reply, or `None` to go on without it."""
        pending = self._pending[id_]
        recheck = max(route.objective * RECHECK_SHARE, MIN_RECHECK_SECONDS)
        while True:
            message = AskAdmission(
                service=service,
                id=id_,
                team=call.team,
                priority=self._find_priority(call.team, route),
                left=call.until - self._clock.now(),
                objective=route.objective,
            )
            reply = self._request(owner, message)
            if reply is not None and reply.state is AskState.QUEUED:
                wait_for(self._clock, pending.changed, recheck)
            # A verdict that arrives while the entry asks again counts.
            if pending.verdict is not None:
                return _to_reply(pending.verdict)
            if reply is None or reply.state is not AskState.QUEUED:
                return reply
            if exchange.must_end:
                return None

    def _request(
        self, owner: InstanceId, message: AskAdmission
    ) -> AdmissionReply | None:
        now = self._clock.now()
        if owner == self._me:
            reply = self._owner.ask(owner, message)
        elif self._silent_until.get(owner, 0) > now:
            return None
        else:
            limit = max(message.objective * REPLY_SHARE, MIN_REPLY_SECONDS)
            try:
                reply = self._bus.request(owner, message, AdmissionReply, limit)
            except LinkError as error:
                self._silent_until[owner] = now + SILENCE_SECONDS
                write(
                    _LOGGER,
                    events.QUEUE_OWNER_SILENT,
                    service=message.service,
                    owner=owner,
                    problem=str(error),
                )
                return None
        if reply.contended:
            self._states[message.service].record_sign(now)
        return reply

    def _release(
        self,
        owner: InstanceId,
        service: ServiceId,
        id_: str,
        *,
        refused: bool = False,
    ) -> None:
        message = ReleaseAdmission(service=service, id=id_, refused=refused)
        if owner == self._me:
            self._owner.release(message)
        else:
            self._bus.send(owner, message)

    def _on_verdict(self, owner: InstanceId, message: Message) -> None:
        verdict = expect(message, AdmissionVerdict)
        if verdict.id in self._pending:
            self._record_verdict(verdict)
        elif verdict.granted:
            # The request went on without it, or its caller has left.
            self._release(owner, verdict.service, verdict.id)

    def _record_verdict(self, verdict: AdmissionVerdict) -> None:
        pending = self._pending.get(verdict.id)
        if pending is not None:
            pending.verdict = verdict
            pending.changed.set()

    def _find_owner(self, service: ServiceId) -> InstanceId:
        alive = [each.id for each in self._members.alive()]
        ranked = rank(f'queue of {service}', alive)
        return ranked[0] if ranked else self._me

    def _find_priority(self, team: TeamId, route: Route) -> int:
        """Return the team's priority, or else the route's; 0 is the highest."""
        configuration = self._routes.configuration
        teams = () if configuration is None else configuration.teams
        for each in teams:
            if each.id == team and each.priority is not None:
                return each.priority
        return route.priority

    def _is_plain(self, service: ServiceId) -> bool:
        found = self._routes.find_service(service)
        return found is None or not found.models

    def _list_loads(self, service: ServiceId) -> list[UpstreamLoad]:
        found = self._routes.find_service(service)
        slots = 0 if found is None else found.slots
        return [
            UpstreamLoad(
                each.id, self._upstreams.load(each.id), each.slots or slots
            )
            for each in self._upstreams.serving(service)
        ]

    def _count_slots(self, service: ServiceId) -> dict[UpstreamId, int]:
        """Return the slots of the upstreams that are not ejected."""
        now = self._clock.now()
        loads = self._list_loads(service)
        healthy = [each for each in loads if each.load.ejected_until <= now]
        return {
            each.id: each.slots or DEFAULT_SLOTS for each in healthy or loads
        }

    def _refresh(self) -> None:
        self._metrics.set_gauge(names.ADMISSIONS_WAITING, self._owner.waiting)


def _to_reply(verdict: AdmissionVerdict) -> AdmissionReply:
    return AdmissionReply(
        state=AskState.GRANTED if verdict.granted else AskState.REFUSED,
        upstream=verdict.upstream,
        retry_after=verdict.retry_after,
        reason=verdict.reason,
        contended=True,
    )
