"""What instances tell each other about a service that does not respond."""

import logging

import pytest

from guavagate.events.forwarding import OUTAGE_REFUTED
from guavagate.forwarding import OutcomeKind
from guavagate.forwarding._outages import (
    CONFIRM_SHARE,
    NOTICE_SECONDS,
    WATCH_MAX_SECONDS,
)
from tests.forwarding.outage_fleet import (
    OBJECTIVE,
    UPSTREAMS,
    Mood,
    OutageFleet,
    make_hanging,
)

_NAMES = ('a', 'b', 'c', 'd')


def test_other_instances_refuse_after_one_short_probe() -> None:
    """They have sent nothing yet, and hold no request to find out."""
    fleet = make_hanging(*_NAMES)
    fleet.send('a')
    fleet.clock.advance(0.1)
    for name in 'bcd':
        end = fleet.send(name)
        assert end.outcome.kind is OutcomeKind.NOT_RUN
        assert end.seconds <= OBJECTIVE * CONFIRM_SHARE + 0.001
        assert fleet.send(name).seconds == 0
        assert not fleet.instances[name].sent


def test_a_burst_waits_for_a_single_probe() -> None:
    """Twenty requests at once must not open twenty connections."""
    fleet = make_hanging(*_NAMES)
    fleet.send('a')
    fleet.clock.advance(0.1)
    before = fleet.probes
    started = [fleet.start('b') for _ in range(20)]
    fleet.clock.advance(0.1)
    kinds = {ends[0].outcome.kind for _, ends in started}
    assert kinds == {OutcomeKind.NOT_RUN}
    assert fleet.probes == before + 1


def test_an_instance_that_is_cut_off_stops_no_other_one(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Its notice is refuted by the first probe; the others' requests run."""
    caplog.set_level(logging.INFO)
    fleet = OutageFleet(*_NAMES)
    fleet.instances['a'].cut_off = True
    assert fleet.send('a').outcome.kind is OutcomeKind.LATE
    fleet.clock.advance(0.1)
    for name in 'bcd':
        end = fleet.send(name)
        assert end.outcome.kind is OutcomeKind.ANSWER
        assert end.seconds < 0.05
    assert caplog.text.count(OUTAGE_REFUTED.code) == 3


def test_all_instances_learn_that_the_service_works_again() -> None:
    """The finder's pending probe is answered, and it tells the others."""
    fleet = make_hanging(*_NAMES)
    fleet.send('a')
    fleet.clock.advance(0.1)
    for name in 'bcd':
        fleet.send(name)
    fleet.clock.advance(2)
    fleet.set_mood(Mood.WELL)
    fleet.clock.advance(0.3)
    for name in _NAMES:
        assert fleet.send(name).outcome.kind is OutcomeKind.ANSWER


def test_a_finder_that_is_lost_blocks_nobody() -> None:
    """It was killed before the upstreams went on, so nobody says that.

    Its notice lapses, and each request asks an upstream before it is refused.
    """
    fleet = make_hanging(*_NAMES)
    fleet.send('a')
    fleet.clock.advance(0.1)
    fleet.send('b')
    fleet.world.kill('a')
    fleet.set_mood(Mood.WELL)
    fleet.clock.advance(1)
    assert fleet.send('b').outcome.kind is OutcomeKind.ANSWER
    fleet.set_mood(Mood.HANGS)
    fleet.clock.advance(NOTICE_SECONDS)
    end = fleet.send('b')
    assert end.outcome.kind is OutcomeKind.LATE
    assert end.seconds < 2.5 * OBJECTIVE
    fleet.clock.advance(0.1)
    assert fleet.send('c').outcome.kind is OutcomeKind.NOT_RUN


def test_one_of_several_finders_goes_on_probing() -> None:
    """Four instances hold a request when the outage begins, and all find it."""
    fleet = make_hanging(*_NAMES)
    for name in _NAMES:
        fleet.start(name)
    fleet.clock.advance(2 + WATCH_MAX_SECONDS)
    before = fleet.probes
    fleet.clock.advance(2 * WATCH_MAX_SECONDS)
    assert fleet.probes - before <= 3 * len(UPSTREAMS)
