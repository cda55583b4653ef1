"""A way to the store through a peer, when it turns this instance away.

The store may refuse some machines, or be cut off from them, while it serves
all others. Such an instance would not hear of a new configuration and could
accept and list nothing, though it is otherwise sound.

A way that is silent shows by time alone: a watch that waits would wait on, and
each other call for its time limit. So while something waits and nothing else
has been answered, a cheap call tries the way. When it fails, all that waits is
let go at once, to be asked again through a peer, and the peers are asked until
the way works again.
"""

import logging
import random
from collections.abc import Callable
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

# Between two looks at the way, and how long it may be silent before it is
# tried. With the time limit of a try, what waits on a silent way is let go
# after 0.7 s at most; TCP's own probes take 3 s, and a step of four seconds
# whose results can not be listed for two is late.
CHECK_INTERVAL_SECONDS: Final = 0.2
STALLED_SECONDS: Final = 0.25
# A try waits for five usual answers within these bounds: a store that answers
# slowly is not lost, and what it carries out must not be given up for that.
MIN_PROBE_TIMEOUT_SECONDS: Final = 0.25
MAX_PROBE_TIMEOUT_SECONDS: Final = 0.6
PROBE_TIMEOUT_FACTOR: Final = 5
LATENCY_SMOOTHING: Final = 0.5
# While the way is lost; each try has its price.
PROBE_INTERVAL_SECONDS: Final = 0.5
# Where nothing urgent waits, calls go through peers meanwhile, and ninety
# instances that try their ways twice a second cost more than that.
IDLE_PROBE_INTERVAL_SECONDS: Final = 2.0
PEER_GRACE_SECONDS: Final = 0.5
# A peer that is sound answers within some milliseconds.
SEARCH_TIMEOUT_SECONDS: Final = 0.2
_MAX_SEARCHED_PEERS: Final = 4
_MAX_TRIED_PEERS: Final = 2


class StoreCall(Message, frozen=True, kw_only=True):
    """A call to the store, made by a peer."""

    call: Call


class StoreAnswer(Message, frozen=True, kw_only=True):
    """What the store answered the peer; `sent` is false when it was not."""

    answer: Answer | None = None
    sent: bool = True
    problem: str = ''


class PeerFallback:
    """Carries calls directly, or through a peer while that fails.

    Parameters
    ----------
    probe_path
        A cheap read; what it finds does not matter.
    is_urgent
        Whether what waits here is urgent; without it the way is not tried
        while it works, as each try has its price.
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
    ) -> None:
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
        bus.register(StoreCall, self._serve)

    def start(self) -> None:
        """Watch over the direct way from now on."""
        self._clock.spawn(self._check_periodically)

    def carry(self, call: Call) -> Answer:
        """Make one call, by whichever way works."""
        if self._direct_route_lost:
            try:
                return self._call_through_peers(call)
            except NotSentError as error:
                _LOGGER.debug('no peer made the call: %s', error)
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
        """Make a call that is let go when the way is lost meanwhile."""
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
        """Have what waits on the lost way be asked again, through a peer.

        Only once the probe has failed: a single call that was refused may be
        one too many, and asking everything again would add to that.
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
        if not self._peers.has_working_peer():
            self._find_peer()
        problem = 'there is no peer'
        for peer in self._peers.rank(self._list_peers())[:_MAX_TRIED_PEERS]:
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
        """Return a peer's answer, or why it has certainly not made the call."""
        timeout = call.timeout + PEER_GRACE_SECONDS
        message = StoreCall(call=call)
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

    def _find_peer(self) -> None:
        """Try some peers at once with the cheap call; the first one serves.

        Each caller that comes meanwhile waits for the same search.
        """
        if self._searching is None:
            self._searching = Event()
            peers = self._peers.rank(self._list_peers())[:_MAX_SEARCHED_PEERS]
            for peer in peers:
                self._clock.spawn(self._probe_peer, peer, self._searching)
        search = self._searching
        wait_for(self._clock, search, SEARCH_TIMEOUT_SECONDS)
        if self._searching is search:
            self._searching = None

    def _probe_peer(self, peer: InstanceId, found: Event) -> None:
        try:
            answer, _ = self._call_peer(peer, self._probe)
        except (LinkRefusedError, NoAnswerError) as error:
            _LOGGER.debug('%s has no way to the store: %s', peer, error)
        else:
            if answer is not None:
                found.set()

    def _serve(self, _: InstanceId, message: Message) -> StoreAnswer:
        """Make a peer's call, by the direct way only."""
        call = expect(message, StoreCall).call
        try:
            return StoreAnswer(answer=self._direct(call))
        except NotSentError as error:
            return StoreAnswer(sent=False, problem=str(error))
        except NoAnswerError as error:
            return StoreAnswer(problem=str(error))


def _make_timeout_error() -> NoAnswerError:
    return NoAnswerError('the store is silent')
