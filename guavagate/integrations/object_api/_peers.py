"""Calls the store through a peer while the direct route fails.

The store may reject some machines, or be unreachable from them, while it serves
all others. Such an instance would receive no new configuration and could accept
no jobs and list no results, though it works otherwise.

A stalled route shows no error: a watch would wait on, and each other call would
wait for its time limit. While calls wait and none has been answered, a cheap
call therefore probes the route. If it fails, all waiting calls fail at once, so
that they are repeated through a peer, and calls use peers until the direct
route works again.
"""

import logging
import random
from collections.abc import Callable, Sequence
from typing import Final

from gevent.event import AsyncResult, Event

from guavagate.clock import Clock, Task
from guavagate.events import forwarding as events
from guavagate.events import write
from guavagate.exceptions import LinkError, LinkRefusedError
from guavagate.helpers.waits import wait_for
from guavagate.integrations.object_api._call_metrics import LONGEST_CALL_SECONDS
from guavagate.integrations.object_api._peer_selector import PeerSelector
from guavagate.integrations.object_api.models import (
    Answer,
    Call,
    DirectRouteLostError,
    NoAnswerError,
    NotSentError,
    Transport,
)
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId

_LOGGER: Final = logging.getLogger(__name__)

# Interval between checks of the direct route, and the time without an answer
# after which it is probed. With the probe's timeout, calls on a stalled route
# fail after 0.7 s at most. TCP keepalive takes 3 s, and a step of four seconds
# is late if its results cannot be listed for two.
CHECK_INTERVAL_SECONDS: Final = 0.2
STALLED_SECONDS: Final = 0.25
# A probe's timeout is a multiple of the usual latency, within these bounds. A
# slow store is not lost, and calls that it is running must not fail for that.
MIN_PROBE_TIMEOUT_SECONDS: Final = 0.25
MAX_PROBE_TIMEOUT_SECONDS: Final = 0.6
PROBE_TIMEOUT_FACTOR: Final = 5
LATENCY_SMOOTHING: Final = 0.5
# While the direct route is lost; each probe has a cost.
PROBE_INTERVAL_SECONDS: Final = 0.5
# Where calls are not urgent. Ninety instances that probe twice a second cost
# more than the calls that go through peers meanwhile.
IDLE_PROBE_INTERVAL_SECONDS: Final = 2.0
PEER_GRACE_SECONDS: Final = 0.5
# A working peer answers within milliseconds.
SEARCH_TIMEOUT_SECONDS: Final = 0.2
_MAX_SEARCHED_PEERS: Final = 4
_MAX_TRIED_PEERS: Final = 2


class StoreCall(Message, frozen=True, kw_only=True):
    """Requests that a peer makes a call to the store."""

    call: Call


class StoreAnswer(Message, frozen=True, kw_only=True):
    """The store's answer; `sent` is false if the call has not run."""

    answer: Answer | None = None
    sent: bool = True
    problem: str = ''


def _always(peer: InstanceId, path: str) -> bool:
    return True


class PeerFallback:
    """Makes calls directly, or through a peer while that fails.

    Parameters
    ----------
    probe_path
        Object to read as a probe; the status is ignored.
    is_urgent
        Returns whether this instance's calls are urgent. Otherwise the route
        is not probed while it works, because each probe has a cost.
    may_relay
        Returns whether a peer may make a call for a path.
    """

    def __init__(
        self,
        direct: Transport,
        bus: Bus,
        clock: Clock,
        list_peers: Callable[[], list[InstanceId]],
        probe_path: str,
        is_urgent: Callable[[], bool],
        rng: random.Random | None = None,
        may_relay: Callable[[InstanceId, str], bool] = _always,
    ) -> None:
        self._may_relay = may_relay
        self._direct = direct
        self._bus = bus
        self._clock = clock
        self._list_peers = list_peers
        self._probe = Call(
            method='GET', path=probe_path, timeout=MAX_PROBE_TIMEOUT_SECONDS
        )
        self._is_urgent = is_urgent
        self._peers = PeerSelector(clock, rng or random.Random())
        self._searching: Event | None = None
        self._direct_route_lost = False
        self._last_answer_at = clock.now()
        self._usual_latency = float(0)
        self._probed_at = clock.now()
        self._waiting: dict[AsyncResult, Task] = {}
        bus.register(StoreCall, self._serve_peer)

    def start(self) -> None:
        """Start to check the direct route."""
        self._clock.spawn(self._check_periodically)

    def call(self, call: Call) -> Answer:
        """Make a call by whichever route works."""
        if self._direct_route_lost:
            try:
                return self._call_through_peers(call)
            except NotSentError as error:
                _LOGGER.debug('No peer made the call: %s', error)
        try:
            answer = self._call_directly(call)
        except NotSentError as error:
            self._record_failure(str(error))
            return self._call_through_peers(call)
        except NoAnswerError as error:
            self._record_failure(str(error))
            raise
        return answer

    def _call_directly(self, call: Call) -> Answer:
        """Make a call that fails at once if the direct route is lost."""
        began_at = self._clock.now()
        result: AsyncResult = AsyncResult()
        self._waiting[result] = self._clock.spawn(self._run_call, result, call)
        try:
            answer: Answer = result.get()
        finally:
            self._waiting.pop(result).kill(block=False)
        self._record_answer(call, began_at)
        return answer

    def _run_call(self, result: AsyncResult, call: Call) -> None:
        try:
            result.set(self._direct(call))
        except Exception as error:
            result.set_exception(error)

    def _check_periodically(self) -> None:
        while True:
            self._clock.sleep(CHECK_INTERVAL_SECONDS)
            if self._is_probe_due():
                self._probe_direct_route()

    def _is_probe_due(self) -> bool:
        now = self._clock.now()
        urgent = self._is_urgent()
        if self._direct_route_lost:
            interval = (
                PROBE_INTERVAL_SECONDS
                if urgent
                else IDLE_PROBE_INTERVAL_SECONDS
            )
            return now - self._probed_at >= interval
        stalled = now - self._last_answer_at >= STALLED_SECONDS
        return urgent and stalled and bool(self._waiting)

    def _probe_direct_route(self) -> None:
        self._probed_at = self._clock.now()
        limit = MAX_PROBE_TIMEOUT_SECONDS
        if not self._direct_route_lost:
            timeout = self._usual_latency * PROBE_TIMEOUT_FACTOR
            limit = min(
                max(timeout, MIN_PROBE_TIMEOUT_SECONDS),
                MAX_PROBE_TIMEOUT_SECONDS,
            )
        try:
            with self._clock.timeout(limit, _make_timeout_error):
                self._direct(self._probe)
        except (NotSentError, NoAnswerError) as error:
            self._record_failure(str(error))
            self._fail_waiting_calls(str(error))
        else:
            self._record_answer(self._probe, self._probed_at)

    def _fail_waiting_calls(self, problem: str) -> None:
        """Fail the calls that wait on the lost route, for repetition by a peer.

        Only a failed probe leads here: a single rejected call may have
        exceeded the rate, and repeating all calls would exceed it further.
        """
        waiting = list(self._waiting) if self._direct_route_lost else []
        for result in waiting:
            result.set_exception(DirectRouteLostError(problem))

    def _record_answer(self, call: Call, began_at: float) -> None:
        self._last_answer_at = self._clock.now()
        if call.timeout <= LONGEST_CALL_SECONDS:
            latency = self._last_answer_at - began_at
            self._usual_latency += (
                latency - self._usual_latency
            ) * LATENCY_SMOOTHING
        if self._direct_route_lost:
            self._direct_route_lost = False
            write(_LOGGER, events.STORE_DIRECT)

    def _record_failure(self, problem: str) -> None:
        if self._direct_route_lost or not self._list_peers():
            return
        self._direct_route_lost = True
        write(_LOGGER, events.STORE_THROUGH_PEER, problem=problem)

    def _call_through_peers(self, call: Call) -> Answer:
        peers = [
            each
            for each in self._list_peers()
            if self._may_relay(each, call.path)
        ]
        if peers and not self._peers.has_working_peer(peers):
            self._find_peer(peers)
        problem = 'there is no peer'
        for peer in self._peers.rank(peers)[:_MAX_TRIED_PEERS]:
            try:
                answer, problem = self._call_peer(peer, call)
            except LinkRefusedError as error:
                self._peers.record_failure(peer)
                problem = str(error)
                continue
            if answer is not None:
                return answer
        raise NotSentError(problem)

    def _call_peer(
        self, peer: InstanceId, call: Call
    ) -> tuple[Answer | None, str]:
        """Return a peer's answer, or why the call has not run."""
        timeout = call.timeout + PEER_GRACE_SECONDS
        message = StoreCall(call=call)
        self._peers.record_sent(peer)
        try:
            reply = self._bus.request(peer, message, StoreAnswer, timeout)
        except LinkRefusedError:
            raise
        except LinkError as error:
            self._peers.record_failure(peer)
            raise NoAnswerError(str(error)) from error
        if reply.answer is not None:
            self._peers.record_answer(peer)
            return reply.answer, ''
        self._peers.record_failure(peer)
        if reply.sent:
            raise NoAnswerError(reply.problem)
        return None, reply.problem

    def _find_peer(self, peers: Sequence[InstanceId]) -> None:
        """Probe several peers at once and wait for the first to answer.

        Calls that arrive meanwhile wait for the same search.
        """
        if self._searching is None:
            self._searching = Event()
            for peer in self._peers.rank(peers)[:_MAX_SEARCHED_PEERS]:
                self._clock.spawn(self._probe_peer, peer, self._searching)
        search = self._searching
        wait_for(self._clock, search, SEARCH_TIMEOUT_SECONDS)
        if self._searching is search:
            self._searching = None

    def _probe_peer(self, peer: InstanceId, found: Event) -> None:
        try:
            answer, _ = self._call_peer(peer, self._probe)
        except (LinkRefusedError, NoAnswerError) as error:
            _LOGGER.debug('%s has no route to the store: %s', peer, error)
        else:
            if answer is not None:
                found.set()

    def _serve_peer(self, _: InstanceId, message: Message) -> StoreAnswer:
        """Make a peer's call, by the direct route only."""
        call = expect(message, StoreCall).call
        try:
            return StoreAnswer(answer=self._direct(call))
        except NotSentError as error:
            return StoreAnswer(sent=False, problem=str(error))
        except NoAnswerError as error:
            return StoreAnswer(problem=str(error))


def _make_timeout_error() -> NoAnswerError:
    return NoAnswerError('the store is silent')
