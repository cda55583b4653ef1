"""What instances tell each other about a service that does not respond."""

import random
from collections import Counter

import pytest

from guavagate.events.forwarding import OUTAGE_REFUTED
from guavagate.forwarding import OutcomeKind
from guavagate.forwarding._outages import (
    CONFIRM_SHARE,
    NOTICE_SECONDS,
    WATCH_MAX_SECONDS,
)
from guavagate.ports.configuration import RouteKind
from tests.forwarding.outage_fleet import (
    OBJECTIVE,
    UPSTREAMS,
    Behavior,
    End,
    OutageFleet,
    make_hanging,
)

_NAMES = ('a', 'b', 'c', 'd')


def test_other_instances_refuse_after_one_short_probe() -> None:
    """They hold no request to find out, and a burst waits for one probe.

    The finder's pending probe is answered when an upstream goes on, and all
    learn that.
    """
    fleet = make_hanging(*_NAMES)
    fleet.send('a')
    fleet.clock.advance(0.1)
    for name in 'bcd':
        probes = fleet.probes
        burst = [fleet.start(name) for _ in range(20)]
        fleet.clock.advance(0.1)
        assert {ends[0].outcome.kind for ends in burst} == {OutcomeKind.NOT_RUN}
        assert max(ends[0].seconds for ends in burst) <= (
            OBJECTIVE * CONFIRM_SHARE + 0.001
        )
        assert fleet.send(name).seconds == 0
        assert not fleet.instances[name].sent
        assert fleet.probes == probes + 1
    fleet.clock.advance(2)
    for name in 'bcd':
        assert fleet.send(name).outcome.kind is OutcomeKind.NOT_RUN
    fleet.set_behavior(Behavior.WELL)
    fleet.clock.advance(0.3)
    for name in _NAMES:
        assert fleet.send(name).outcome.kind is OutcomeKind.ANSWER


def test_an_instance_that_is_cut_off_stops_no_other_one(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Its notice is refuted by the first probe; the others' requests run."""
    fleet = OutageFleet(*_NAMES)
    fleet.instances['a'].cut_off = True
    assert fleet.send('a').outcome.kind is OutcomeKind.LATE
    fleet.clock.advance(0.1)
    for name in 'bcd':
        end = fleet.send(name)
        assert end.outcome.kind is OutcomeKind.ANSWER
        assert end.seconds < 0.05
    assert caplog.text.count(OUTAGE_REFUTED.code) == 3


def test_a_finder_that_is_lost_blocks_nobody() -> None:
    """It was killed, so nobody says that the upstreams went on.

    Each request asks an upstream first, and the notice lapses.
    """
    fleet = make_hanging(*_NAMES)
    fleet.send('a')
    fleet.clock.advance(0.1)
    fleet.send('b')
    fleet.world.kill('a')
    fleet.set_behavior(Behavior.WELL)
    fleet.clock.advance(1)
    assert fleet.send('b').outcome.kind is OutcomeKind.ANSWER
    fleet.set_behavior(Behavior.HANGS)
    fleet.clock.advance(NOTICE_SECONDS)
    assert fleet.send('b').outcome.kind is OutcomeKind.LATE
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


def _play(*, with_probes: bool) -> tuple[OutageFleet, list[End]]:
    """Return the ends of requests of sixty instances during eight seconds."""
    names = [f'i{number:02}' for number in range(60)]
    fleet = OutageFleet(*names, with_probes=with_probes)
    rng = random.Random(1)
    ends: list[list[list[End]]] = []
    for behavior in (Behavior.WELL, Behavior.HANGS, Behavior.WELL):
        fleet.set_behavior(behavior)
        ends.append([])
        until = fleet.clock.now() + 8
        while fleet.clock.now() < until:
            kind = rng.choice([RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
            ends[-1].append(fleet.start(rng.choice(names), kind, 0.8))
            fleet.clock.advance(rng.expovariate(6))
    fleet.clock.advance(2)
    after = {each[0].outcome.kind for each in ends[2][3:]}
    assert after == {OutcomeKind.ANSWER}
    return fleet, [each[0] for each in ends[1][:-5]]


def test_few_requests_are_held_while_all_upstreams_hang() -> None:
    """Each instance sends a request in ten seconds, and learns from others.

    All requests would be held until their deadlines, without a word on when
    to return. Those refused have run nowhere and did not wait.
    """
    plain, probed = _play(with_probes=False), _play(with_probes=True)
    held = [sum(end.seconds for end in ends) for _, ends in (plain, probed)]
    refused = [
        end for end in probed[1] if end.outcome.kind is OutcomeKind.NOT_RUN
    ]
    print(  # noqa: T201, WPS421
        Counter(end.outcome.kind.value for end in plain[1]),
        Counter(end.outcome.kind.value for end in probed[1]),
        [(fleet.probes, fleet.connections) for fleet, _ in (plain, probed)],
        held,
        probed[0].world.network.messages,
    )
    assert all(end.outcome.began_at is None for end in refused)
    assert all(end.seconds <= OBJECTIVE / 4 for end in refused)
    assert len(refused) > 0.8 * len(probed[1])
    assert held[1] < 0.2 * held[0]
    assert len({end.outcome.retry_after for end in refused}) > 20
