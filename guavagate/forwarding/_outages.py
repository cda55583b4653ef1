"""Finds out that no upstream of a service responds, so requests are refused.

Failure pattern: all upstreams of a service hang, or the way to them is cut.
Whoever sends requests holds them until their deadlines, and so do sixty other
instances, each by itself.

- A request without any answer after 1.25 of its objective has all upstreams
  probed, in parallel: first over idle connections, and only if none is answered
  over new ones.
- If none is answered, the instance refuses requests at once, tells the others,
  and leaves a probe with each upstream; the first answer ends the state.
- An instance that is told so asks the upstream that its next request would go
  to, for a small share of the objective, and refuses only if that fails
  too. So an instance that is cut off by itself stops no other one.
"""

import logging
from collections.abc import Sequence
from typing import Final

import msgspec
from gevent.event import Event
from gevent.queue import Queue

from guavagate.clock import Clock
from guavagate.decisions.retries import Budget
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.forwarding._finding import Finding
from guavagate.forwarding._notices import ServiceNotice, ServiceNotices
from guavagate.forwarding._probes import Probe, ProbeState
from guavagate.helpers.waits import QueueTimeoutError, get_within, wait_for
from guavagate.models import ServiceId, UpstreamId
from guavagate.ports.upstreams import Upstream
from guavagate.routing import UpstreamTable

_LOGGER: Final = logging.getLogger(__name__)

# Time of the probes of a check, as a share of the objective and in seconds.
# The health path answers at once, so the objective is plenty.
CHECK_SHARE: Final = 0.5
CHECK_BOUNDS: Final = (0.05, 0.25)
# A burst of slow requests has the upstreams probed once.
CHECK_INTERVAL_SECONDS: Final = 1.0
# Checks over new connections per answered request. Where requests are slow and
# probes are answered, the connections would cost more than the requests' worth.
CHECKS_PER_ANSWER: Final = 0.05
# An answer to another request within this share of the objective tells as much
# as a check.
ANSWERED_SHARE: Final = 0.5
# A request waits this share of its objective for a probe that confirms what
# another instance found.
CONFIRM_SHARE: Final = 0.1
# How long a notice counts; the finder repeats it within four seconds.
NOTICE_SECONDS: Final = 6.0
# How long a confirmed notice has requests refused before the next probe, and
# how long a refuted one is ignored.
CONFIRMED_SECONDS: Final = 1.0
REFUTED_SECONDS: Final = 5.0
# Time of a probe that is left with an upstream. A suspended process
# answers it as soon as it goes on. Where packets were dropped, a new connection
# is quicker than the old one's next repeat, so that it is given up in the end.
WATCH_SECONDS: Final = 1.0
WATCH_MAX_SECONDS: Final = 4.0
# How soon a refusing upstream is probed again.
_MIN_ROUND_SECONDS: Final = 0.5
# How soon an answer to anything else ends the wait for probes.
_POLL_SECONDS: Final = 0.25

_FAILED: Final = frozenset((ProbeState.TIMED_OUT, ProbeState.REFUSED))


class _Check(msgspec.Struct):
    """The latest check of a service."""

    done: Event
    began_at: float


class _Hint(msgspec.Struct):
    """What others told about a service, and what a probe from here found."""

    finder: str
    received_at: float
    confirmed_at: float = -1e9
    refuted_at: float = -1e9
    probing: Event | None = None


class OutageDetector:
    """Implements `OutageChecker` with probes."""

    def __init__(
        self,
        clock: Clock,
        upstreams: UpstreamTable,
        probe: Probe,
        notices: ServiceNotices,
    ) -> None:
        self._clock = clock
        self._upstreams = upstreams
        self._probe = probe
        self._notices = notices
        self._hints: dict[ServiceId, _Hint] = {}
        self._checks: dict[ServiceId, _Check] = {}
        self._watched: set[ServiceId] = set()
        self._budget = Budget(CHECKS_PER_ANSWER)
        notices.subscribe(self._on_notice)

    def count_unresponsive(self) -> int:
        """Return the number of services that this instance refuses."""
        services = {each.service for each in self._upstreams.registered()}
        return sum(
            self._upstreams.is_unavailable(each) or self._is_confirmed(each)
            for each in services
        )

    def record_answer(self) -> None:
        """Record that a request was answered, which pays for checks."""
        self._budget.earn()

    def refuses(self, service: ServiceId, objective: float) -> bool:
        """Return whether another instance's notice is confirmed from here."""
        hint = self._find_hint(service)
        if hint is None or self._upstreams.is_unavailable(service):
            return False
        limit = objective * CONFIRM_SHARE
        if hint.probing is not None:
            # The probe itself ends in time.
            wait_for(self._clock, hint.probing, 2 * limit)
        elif not self._is_decided(hint):
            self._confirm(service, hint, limit)
        return self._is_confirmed(service)

    def check(self, service: ServiceId, objective: float) -> Finding:
        """Probe a service's upstreams and wait for what that finds.

        Requests that are slow at the same time share one check.
        """
        now = self._clock.now()
        serving = self._upstreams.serving(service)
        if self._has_answered(serving, now - objective * ANSWERED_SHARE):
            return Finding.ANSWERS
        low, high = CHECK_BOUNDS
        limit = min(max(objective * CHECK_SHARE, low), high)
        check = self._checks.get(service)
        if check is None or now - check.began_at >= CHECK_INTERVAL_SECONDS:
            check = _Check(Event(), now)
            self._checks[service] = check
            self._check(service, limit)
            check.done.set()
        else:
            wait_for(self._clock, check.done, 2 * limit + _POLL_SECONDS)
        return self._conclude(service, check)

    def _conclude(self, service: ServiceId, check: _Check) -> Finding:
        if self._upstreams.is_failing_probes(service):
            return Finding.UNRESPONSIVE
        if self._has_answered(self._upstreams.serving(service), check.began_at):
            return Finding.ANSWERS
        return Finding.UNKNOWN

    def _check(self, service: ServiceId, limit: float) -> None:
        began_at = self._clock.now()
        serving = self._upstreams.serving(service)
        found = self._ask_all(serving, limit, connect=False)
        if not self._has_answered(serving, began_at) and self._budget.spend():
            unknown = [
                each for each in serving if found.get(each.id) not in _FAILED
            ]
            self._ask_all(unknown, limit, connect=True)
        if self._upstreams.is_failing_probes(service) and self._is_first(
            service
        ):
            self._watched.add(service)
            write(
                _LOGGER,
                events.SERVICE_UNRESPONSIVE,
                service=service,
                upstreams=[each.id for each in serving],
            )
            self._clock.spawn(self._watch, service)

    def _watch(self, service: ServiceId) -> None:
        """Leave a probe with each upstream until one answers."""
        since = self._clock.now()
        limit = WATCH_SECONDS
        while service in self._watched and self._upstreams.is_failing_probes(
            service
        ):
            self._notices.send(service, unresponsive=True)
            round_ends_at = self._clock.now() + _MIN_ROUND_SECONDS
            serving = self._upstreams.serving(service)
            self._ask_all(serving, limit, connect=True)
            limit = min(limit * 2, WATCH_MAX_SECONDS)
            if self._upstreams.is_failing_probes(service):
                self._clock.sleep(round_ends_at - self._clock.now())
        if service not in self._watched:
            return
        self._watched.discard(service)
        self._notices.send(service, unresponsive=False)
        write(
            _LOGGER,
            events.SERVICE_RESPONSIVE,
            service=service,
            seconds=round(self._clock.now() - since, 3),
        )

    def _confirm(self, service: ServiceId, hint: _Hint, limit: float) -> None:
        upstream = self._upstreams.rank_first(service, set())
        if upstream is None:
            return
        hint.probing = Event()
        try:
            state = self.ask(upstream, limit, connect=True)
        finally:
            hint.probing.set()
            hint.probing = None
        if state is ProbeState.ANSWERED:
            hint.refuted_at = self._clock.now()
            event = events.OUTAGE_REFUTED
        elif state in _FAILED:
            hint.confirmed_at = self._clock.now()
            event = events.OUTAGE_CONFIRMED
        else:
            return
        write(
            _LOGGER,
            event,
            service=service,
            upstream=upstream.id,
            finder=hint.finder,
        )

    def _ask_all(
        self, upstreams: Sequence[Upstream], limit: float, *, connect: bool
    ) -> dict[UpstreamId, ProbeState]:
        """Probe upstreams in parallel; return what all found.

        Returns sooner once any of them has answered anything.
        """
        results: Queue = Queue()
        started_at = self._clock.now()

        def ask(upstream: Upstream) -> None:
            state = self.ask(upstream, limit, connect=connect)
            results.put((upstream.id, state))

        for each in upstreams:
            self._clock.spawn(ask, each)
        found: dict[UpstreamId, ProbeState] = {}
        until = started_at + limit + _POLL_SECONDS
        while len(found) < len(upstreams) and self._clock.now() < until:
            try:
                name, state = get_within(self._clock, results, _POLL_SECONDS)
            except QueueTimeoutError:
                if self._has_answered(upstreams, started_at):
                    break
                continue
            found[name] = state
            if state is ProbeState.ANSWERED:
                break
        return found

    def _is_first(self, service: ServiceId) -> bool:
        """Return whether neither this nor a preferred instance watches."""
        hint = self._find_hint(service)
        preferred = hint is not None and hint.finder < self._notices.me
        return service not in self._watched and not preferred

    def ask(
        self, upstream: Upstream, limit: float, *, connect: bool
    ) -> ProbeState:
        """Probe an upstream and record what that found."""
        sent_at = self._clock.now()
        result = self._probe(upstream, limit, connect)
        registered = self._upstreams.get(upstream.id)
        if registered is None or not _is_same_process(registered, upstream):
            return ProbeState.UNKNOWN
        if result.state is ProbeState.ANSWERED:
            self._upstreams.record_report(upstream.id, result.load)
        elif result.state in _FAILED:
            refused = result.state is ProbeState.REFUSED
            self._upstreams.record_failed_probe(
                upstream.id, sent_at, refused=refused
            )
        return result.state

    def _has_answered(
        self, upstreams: Sequence[Upstream], started_at: float
    ) -> bool:
        loads = (self._upstreams.load(each.id) for each in upstreams)
        return any(each.answered_at >= started_at for each in loads)

    def _on_notice(self, notice: ServiceNotice) -> None:
        service = notice.service
        if not notice.unresponsive:
            self._hints.pop(service, None)
            if service not in self._watched:
                self._upstreams.forget_failed_probes(service)
            return
        hint = self._find_hint(service)
        if hint is None:
            hint = _Hint(notice.finder, self._clock.now())
            self._hints[service] = hint
        hint.finder = notice.finder
        hint.received_at = self._clock.now()
        # Of several finders only one goes on probing for all.
        if notice.finder < self._notices.me:
            self._watched.discard(service)

    def _find_hint(self, service: ServiceId) -> _Hint | None:
        hint = self._hints.get(service)
        if hint is None:
            return None
        if self._clock.now() - hint.received_at < NOTICE_SECONDS:
            return hint
        self._hints.pop(service)
        return None

    def _is_confirmed(self, service: ServiceId) -> bool:
        hint = self._find_hint(service)
        if hint is None:
            return False
        return self._clock.now() - hint.confirmed_at < CONFIRMED_SECONDS

    def _is_decided(self, hint: _Hint) -> bool:
        now = self._clock.now()
        return (
            now - hint.confirmed_at < CONFIRMED_SECONDS
            or now - hint.refuted_at < REFUTED_SECONDS
        )


def _is_same_process(registered: Upstream, probed: Upstream) -> bool:
    return (
        registered.address == probed.address
        and registered.incarnation == probed.incarnation
    )
