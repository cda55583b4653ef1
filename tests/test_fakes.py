"""Tests of the fakes that other tests use."""

import pytest

from guavagate.exceptions import LinkError, StoreUnavailableError
from guavagate.links import Message
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, Revision


class _Ping(Message, frozen=True, kw_only=True):
    number: int


class _Pong(Message, frozen=True, kw_only=True):
    number: int


def test_a_paused_instance_answers_after_its_resume() -> None:
    """The requester times out; the request is handled after the resume."""
    world = World()
    world.add('a')
    world.add('b')
    handled: list[float] = []

    def pong(source: InstanceId, ping: Message) -> Message:
        handled.append(world.clock.now())
        assert isinstance(ping, _Ping)
        return _Pong(number=ping.number)

    world.bus('b').register(_Ping, pong)
    peer = InstanceId('b')

    def ask() -> int:
        return world.bus('a').request(peer, _Ping(number=7), _Pong, 1).number

    first = world.clock.spawn(ask)
    world.clock.advance(2)
    assert first.get(block=False) == 7
    world.pause('b')
    second = world.clock.spawn(ask)
    world.clock.advance(5)
    assert isinstance(second.exception, LinkError)
    assert len(handled) == 1
    world.resume('b')
    world.clock.advance(1)
    assert len(handled) == 2


def test_a_lost_answer_hides_a_write_that_took_effect() -> None:
    """The writer gets an error, but readers see the write."""
    world = World()
    world.add('a')
    store = world.store_of('a')
    world.store.lose_next = 1
    task = world.clock.spawn(store.put, 'x', b'1', Revision(0))
    world.clock.advance(1)
    with pytest.raises(StoreUnavailableError):
        task.get(block=False)
    assert world.store.objects['x'].value == b'1'


def test_others_notice_a_death_after_the_detection_delay() -> None:
    """Until the detection delay ends they list it as alive."""
    world = World(detection_delay=2)
    for name in 'abc':
        world.add(name)
    world.clock.advance(1)
    world.kill('c')
    world.clock.advance(1.9)
    assert len(world.members[InstanceId('a')].alive()) == 3
    world.clock.advance(0.5)
    assert len(world.members[InstanceId('a')].alive()) == 2
