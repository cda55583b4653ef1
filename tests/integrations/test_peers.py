"""Calls to the store through a peer, when this instance is turned away."""

import pytest

from guavagate.integrations.object_api import PeerFallback
from guavagate.integrations.object_api.models import (
    Answer,
    Call,
    DirectRouteLostError,
    NoAnswerError,
    NotSentError,
)
from guavagate.measure.fakes import World
from guavagate.models import InstanceId

_CALL = Call(method='GET', path='/objects/k', timeout=1)
_PROBE = '/objects/probe'
_WATCH = Call(method='GET', path='/objects/k?watch=1', timeout=15)


class _Routes:
    """Three instances; some are turned away by the store."""

    def __init__(self) -> None:
        self.world = World()
        self.turned_away: dict[str, Exception] = {}
        self.cut: set[str] = set()
        self.calls: list[str] = []
        self.probes: list[str] = []
        self.routes: dict[str, PeerFallback] = {}
        self.needed = True
        self.slow = float(0)
        for name in 'abc':
            self.world.add(name)
        for name in 'abc':
            self._start(name)
        self.world.clock.advance(1)

    def _start(self, name: str) -> None:
        clock = self.world.hosts[InstanceId(name)].clock

        def carry(call: Call) -> Answer:
            if call.path == _PROBE:
                self.probes.append(name)
            else:
                self.calls.append(name)
            if name in self.cut:
                clock.sleep(call.timeout)
                raise NoAnswerError('silent')
            if name in self.turned_away:
                raise self.turned_away[name]
            clock.sleep(5 if call.path == _WATCH.path else self.slow)
            return Answer(status=200)

        self.routes[name] = PeerFallback(
            carry,
            self.world.bus(name),
            self.world.hosts[InstanceId(name)].clock,
            lambda: [InstanceId(each) for each in 'abc' if each != name],
            _PROBE,
            lambda: self.needed,
        )
        self.routes[name].start()

    def call(self, name: str, call: Call = _CALL) -> Answer:
        """Make a call from an instance."""
        task = self.world.clock.spawn(self.routes[name].carry, call)
        self.world.clock.run_until(task.ready, 10)
        answer: Answer = task.get(block=False)
        return answer


def test_a_refused_call_goes_through_a_peer() -> None:
    """The store answers this machine 503, and serves the others."""
    routes = _Routes()
    routes.turned_away['a'] = NotSentError('503')
    assert routes.call('a').status == 200
    assert routes.calls[0] == 'a'
    assert routes.calls[1] in 'bc'


def test_for_a_while_the_peers_are_asked_first() -> None:
    """Each call would else wait for the dead way's time limit."""
    routes = _Routes()
    routes.turned_away['a'] = NotSentError('503')
    routes.call('a')
    routes.calls.clear()
    routes.call('a')
    assert 'a' not in routes.calls
    routes.turned_away.clear()
    routes.world.clock.advance(3)
    routes.calls.clear()
    routes.call('a')
    assert routes.calls == ['a']


def test_a_call_in_doubt_is_not_made_again_by_a_peer() -> None:
    """It may take effect; whoever called decides whether to repeat it."""
    routes = _Routes()
    routes.turned_away['a'] = NoAnswerError('silent')
    with pytest.raises(NoAnswerError):
        routes.call('a')
    assert routes.calls == ['a']


def test_an_outage_for_all_is_told_as_not_sent() -> None:
    """Every peer is turned away too: the call has certainly not been made."""
    routes = _Routes()
    for name in 'abc':
        routes.turned_away[name] = NotSentError('refused')
    with pytest.raises(NotSentError):
        routes.call('a')


def test_what_waits_on_a_silent_way_is_let_go() -> None:
    """The owner of a service's jobs is cut off from the store, silently.

    Its watches hang, as nothing comes and nothing is reset; jobs that are
    accepted meanwhile would start seconds late. Nothing else is asked of the
    store, so only a try of the way shows it; the watch is asked again through
    a peer.
    """
    routes = _Routes()
    task = routes.world.clock.spawn(routes.routes['a'].carry, _WATCH)
    routes.world.clock.advance(0.1)
    routes.cut.add('a')
    routes.world.clock.advance(0.8)
    assert task.ready()
    assert isinstance(task.exception, DirectRouteLostError)
    routes.calls.clear()
    assert routes.call('a', _WATCH).status == 200
    assert 'a' not in routes.calls


def test_one_refused_call_lets_nothing_go() -> None:
    """The store answers one call 429, one too many in this second.

    Were all watches asked again for that, the rate would be passed by more.
    """
    routes = _Routes()
    task = routes.world.clock.spawn(routes.routes['a'].carry, _WATCH)
    routes.world.clock.advance(0.1)
    routes.turned_away['a'] = NotSentError('429')
    routes.call('a')
    routes.turned_away.clear()
    routes.world.clock.advance(5)
    assert task.value is not None
    assert task.value.status == 200


def test_a_way_that_answers_is_not_tried() -> None:
    """Each try has its price; calls that are answered show the same."""
    routes = _Routes()
    for _ in range(20):
        routes.call('a')
        routes.world.clock.advance(0.3)
    assert not routes.probes


def test_a_store_that_answers_slowly_is_not_taken_for_lost() -> None:
    """Each answer takes 0.4 s for twenty seconds, for all instances.

    A way that is tried with the patience of better times would seem lost again
    and again; what waits would be let go, and writes be in doubt.
    """
    routes = _Routes()
    routes.call('a')
    routes.slow = 0.4
    let_go = 0
    for _ in range(40):
        try:
            routes.call('a')
        except DirectRouteLostError:
            let_go += 1
        routes.world.clock.advance(0.1)
    assert let_go <= 1


def test_a_lost_way_is_tried_seldom_where_nothing_urgent_waits() -> None:
    """The store turns an instance without duties away for twenty seconds.

    It has its calls made by peers; each try of its own way has its price.
    """
    routes = _Routes()
    routes.needed = False
    routes.turned_away['a'] = NotSentError('503')
    routes.call('a')
    routes.probes.clear()
    routes.world.clock.advance(20)
    assert 8 <= len(routes.probes) <= 10
    routes.turned_away.clear()
    routes.world.clock.advance(3)
    routes.calls.clear()
    routes.call('a')
    assert routes.calls == ['a']


def test_a_peer_that_is_cut_off_as_well_is_left_alone() -> None:
    """The owner is cut off from the store and from one of two peers.

    The others still see that peer alive, so it is among those to ask; each
    call through it would wait out its time limit, and results would be listed
    seconds late. The peers are tried at once, and who answers is asked again.
    """
    routes = _Routes()
    world = routes.world
    one, other = InstanceId('a'), InstanceId('b')
    world.network.blocked = {(one, other), (other, one)}
    routes.turned_away['a'] = NotSentError('503')
    routes.call('a')
    start = world.clock.now()
    for _ in range(20):
        assert routes.call('a').status == 200
    assert world.clock.now() - start < 0.5
