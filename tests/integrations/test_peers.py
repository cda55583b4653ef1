"""Tests of calls to the store through a peer."""

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


class _Fleet:
    """Instances of which the store rejects some."""

    def __init__(self, names: str = 'abc') -> None:
        self.names = names
        self.world = World()
        self.rejections: dict[str, Exception] = {}
        self.stalled: set[str] = set()
        self.calls: list[str] = []
        self.probes: list[str] = []
        self.fallbacks: dict[str, PeerFallback] = {}
        self.urgent = True
        self.latency = float(0)
        for name in names:
            self.world.add(name)
        for name in names:
            self._start(name)
        self.world.clock.advance(1)

    def _start(self, name: str) -> None:
        names = self.names
        clock = self.world.hosts[InstanceId(name)].clock

        def transport(call: Call) -> Answer:
            if call.path == _PROBE:
                self.probes.append(name)
            else:
                self.calls.append(name)
            if name in self.stalled:
                clock.sleep(call.timeout)
                raise NoAnswerError('no answer')
            if name in self.rejections:
                raise self.rejections[name]
            clock.sleep(5 if call.path == _WATCH.path else self.latency)
            return Answer(status=200)

        self.fallbacks[name] = PeerFallback(
            transport,
            self.world.bus(name),
            self.world.hosts[InstanceId(name)].clock,
            lambda: [InstanceId(each) for each in names if each != name],
            _PROBE,
            lambda: self.urgent,
        )
        self.fallbacks[name].start()

    def call(self, name: str, call: Call = _CALL) -> Answer:
        """Make a call at an instance."""
        task = self.world.clock.spawn(self.fallbacks[name].call, call)
        self.world.clock.run_until(task.ready, 10)
        answer: Answer = task.get(block=False)
        return answer


def test_a_rejected_call_goes_through_a_peer() -> None:
    """The store answers 503 to this instance and serves the others."""
    fleet = _Fleet()
    fleet.rejections['a'] = NotSentError('503')
    assert fleet.call('a').status == 200
    assert fleet.calls[0] == 'a'
    assert fleet.calls[1] in 'bc'


def test_calls_use_peers_first_until_the_direct_route_works() -> None:
    """Otherwise each call would wait for the lost route's time limit."""
    fleet = _Fleet()
    fleet.rejections['a'] = NotSentError('503')
    fleet.call('a')
    fleet.calls.clear()
    fleet.call('a')
    assert 'a' not in fleet.calls
    fleet.rejections.clear()
    fleet.world.clock.advance(3)
    fleet.calls.clear()
    fleet.call('a')
    assert fleet.calls == ['a']


def test_a_call_that_may_have_run_is_not_repeated_by_a_peer() -> None:
    """The call may take effect, so its sender decides on a repetition."""
    fleet = _Fleet()
    fleet.rejections['a'] = NoAnswerError('no answer')
    with pytest.raises(NoAnswerError):
        fleet.call('a')
    assert fleet.calls == ['a']


def test_an_outage_for_all_instances_raises_not_sent() -> None:
    """The store rejects every peer too, so the call has not run."""
    fleet = _Fleet()
    for name in 'abc':
        fleet.rejections[name] = NotSentError('refused')
    with pytest.raises(NotSentError):
        fleet.call('a')


def test_waiting_calls_fail_when_the_direct_route_stalls() -> None:
    """The network drops all packets between a job owner and the store.

    Its watches hang without a reset, and jobs accepted meanwhile would start
    seconds late. The owner makes no other call that would fail, so only a
    probe detects it. The watch is then repeated through a peer.
    """
    fleet = _Fleet()
    task = fleet.world.clock.spawn(fleet.fallbacks['a'].call, _WATCH)
    fleet.world.clock.advance(0.1)
    fleet.stalled.add('a')
    fleet.world.clock.advance(0.8)
    assert task.ready()
    assert isinstance(task.exception, DirectRouteLostError)
    fleet.calls.clear()
    assert fleet.call('a', _WATCH).status == 200
    assert 'a' not in fleet.calls


def test_one_rejected_call_fails_no_waiting_call() -> None:
    """The store answers 429 to one call, which exceeds the rate.

    Repeating all watches for that would exceed the rate further.
    """
    fleet = _Fleet()
    task = fleet.world.clock.spawn(fleet.fallbacks['a'].call, _WATCH)
    fleet.world.clock.advance(0.1)
    fleet.rejections['a'] = NotSentError('429')
    fleet.call('a')
    fleet.rejections.clear()
    fleet.world.clock.advance(5)
    assert task.value is not None
    assert task.value.status == 200


def test_a_route_that_answers_is_not_probed() -> None:
    """Each probe has a cost, and answered calls prove the same."""
    fleet = _Fleet()
    for _ in range(20):
        fleet.call('a')
        fleet.world.clock.advance(0.3)
    assert not fleet.probes


def test_a_slow_store_is_not_considered_lost() -> None:
    """All instances wait 0.4 s for each answer, during twenty seconds.

    With the usual timeout, probes would fail again and again. Waiting calls
    would then fail and leave writes in an uncertain state.
    """
    fleet = _Fleet()
    fleet.call('a')
    fleet.latency = 0.4
    failed_calls = 0
    for _ in range(40):
        try:
            fleet.call('a')
        except DirectRouteLostError:
            failed_calls += 1
        fleet.world.clock.advance(0.1)
    assert failed_calls <= 1


def test_a_lost_route_is_probed_rarely_without_urgent_calls() -> None:
    """The store rejects an instance without duties for twenty seconds.

    Peers make its calls meanwhile, and each probe has a cost.
    """
    fleet = _Fleet()
    fleet.urgent = False
    fleet.rejections['a'] = NotSentError('503')
    fleet.call('a')
    fleet.probes.clear()
    fleet.world.clock.advance(20)
    assert 8 <= len(fleet.probes) <= 10
    fleet.rejections.clear()
    fleet.world.clock.advance(3)
    fleet.calls.clear()
    fleet.call('a')
    assert fleet.calls == ['a']


def test_an_unreachable_peer_is_avoided() -> None:
    """A job owner can reach neither the store nor one of two peers.

    Other members see that peer alive, so it is a candidate. Each call through
    it would wait for its time limit, and results would be listed seconds late.
    All peers are therefore probed at once, and the one that answers is reused.
    """
    fleet = _Fleet()
    world = fleet.world
    one, other = InstanceId('a'), InstanceId('b')
    world.network.blocked = {(one, other), (other, one)}
    fleet.rejections['a'] = NotSentError('503')
    fleet.call('a')
    start = world.clock.now()
    for _ in range(20):
        assert fleet.call('a').status == 200
    assert world.clock.now() - start < 0.5


def test_calls_are_spread_over_the_peers_that_answer() -> None:
    """A cut-off job owner lists megabytes while it commits results.

    Through one peer the commits would wait behind the lists on its link.
    """
    fleet = _Fleet('abcde')
    fleet.rejections['a'] = NotSentError('503')
    fleet.call('a')
    fleet.calls.clear()
    fleet.latency = 0.5
    tasks = [
        fleet.world.clock.spawn(fleet.fallbacks['a'].call, _CALL)
        for _ in range(8)
    ]
    fleet.world.clock.run_until(lambda: all(each.ready() for each in tasks), 5)
    assert sorted(fleet.calls) == sorted('bcde' * 2)


def test_calls_with_bodies_go_through_permitted_peers_only() -> None:
    """A job is bound to a region, and the peer that answered is in another.

    Calls without bodies may still go through it.
    """
    fleet = _Fleet()
    fallback = fleet.fallbacks['a']
    fallback._may_relay = lambda peer, path: peer == 'c' or 'jobs' not in path
    fleet.rejections['a'] = NotSentError('503')
    job = Call(method='PUT', path='/objects/jobs/j', timeout=1)
    for _ in range(10):
        fleet.call('a', job)
    assert set(fleet.calls) - {'a'} == {'c'}
    fleet.rejections['c'] = NotSentError('503')
    with pytest.raises(NotSentError):
        fleet.call('a', job)
    assert fleet.call('a').status == 200


def test_a_call_without_a_permitted_peer_delays_no_other_one() -> None:
    """A search without peers ends at its time limit, and other calls join it.

    The store calls of a lease would then wait for nothing each time that a
    call with bodies fails.
    """
    fleet = _Fleet()
    fleet.fallbacks['a']._may_relay = lambda peer, path: 'jobs' not in path
    fleet.rejections['a'] = NotSentError('503')
    job = Call(method='PUT', path='/objects/jobs/j', timeout=1)
    clock = fleet.world.clock
    refused = clock.spawn(fleet.fallbacks['a'].call, job)
    lease = clock.spawn(fleet.fallbacks['a'].call, _CALL)
    clock.advance(0.1)
    assert refused.ready()
    assert lease.ready()
    assert lease.get(block=False).status == 200
