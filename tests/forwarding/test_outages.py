"""Services of which no upstream responds: found, refused, and found again."""

import random
from collections import Counter

import msgspec
import pytest

from guavagate.events.forwarding import OUTAGE_REFUTED
from guavagate.forwarding import OutcomeKind
from guavagate.forwarding._outages import CONFIRM_SHARE, NOTICE_SECONDS
from guavagate.ports.configuration import RouteKind
from tests.forwarding.outage_fleet import (
    OBJECTIVE,
    SERVICE,
    UPSTREAMS,
    Ends,
    OutageFleet,
)

_READ, _WRITE = RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT
_LATE, _NOT_RUN = OutcomeKind.LATE, OutcomeKind.NOT_RUN


@pytest.mark.parametrize('refusing', [('',), UPSTREAMS[:2]])
def test_requests_end_at_once_while_no_upstream_responds(
    refusing: tuple[str, ...],
) -> None:
    """The first one was sent, so it timed out; later ones have run nowhere.

    Callers would wait for 1.5 s, and occupy the entry meanwhile. It is the same
    where some upstreams have ended. The first answer ends the state.
    """
    fleet = OutageFleet()
    fleet.set('refuses', *refusing)
    outcome, seconds = fleet.send()
    assert outcome.kind is _LATE
    assert outcome.began_at is not None
    assert seconds < 2.5 * OBJECTIVE
    fleet.set('hangs')
    fleet.clock.advance(4)
    sent = fleet.first.sent.total()
    for kind in (_WRITE, _READ):
        outcome, seconds = fleet.send(kind=kind)
        assert (outcome.kind, outcome.began_at) == (_NOT_RUN, None)
        assert seconds == 0
    assert fleet.first.sent.total() == sent
    fleet.set('well', 'u1')
    fleet.clock.advance(0.3)
    assert fleet.is_answered()


def test_a_non_idempotent_request_is_never_reported_as_not_run() -> None:
    """An upstream may run it, so it waits for an answer until its deadline."""
    outcome, seconds = OutageFleet().send(kind=_WRITE)
    assert outcome.kind is _LATE
    assert seconds > 1
    fleet = OutageFleet()
    ends = fleet.start(kind=_WRITE)
    fleet.clock.advance(0.5)
    fleet.set('well')
    fleet.clock.advance(0.1)
    assert ends[0][0].kind is OutcomeKind.ANSWER
    assert fleet.first.sent.total() == 2


def test_upstreams_that_answer_probes_only_count_by_their_requests() -> None:
    """Two requests that time out at each upstream count, as without probes."""
    fleet = OutageFleet()
    fleet.set('answers probes only')
    for _ in range(2):
        assert fleet.send(kind=_WRITE)[0].kind is _LATE
        assert not fleet.first.table.is_unavailable(SERVICE)
    fleet.clock.advance(60)
    while not fleet.first.table.is_unavailable(SERVICE):
        assert fleet.send()[0].kind is _LATE
    started = []
    for _ in range(10):
        started.append(fleet.start(kind=_WRITE))
        fleet.clock.advance(0.01)
    refused = [ends[0][0].kind for ends in started if ends]
    assert refused == [_NOT_RUN] * (10 - len(UPSTREAMS))


@pytest.mark.parametrize('objectives', [1.3, 2])
def test_probes_that_hang_delay_no_request(objectives: float) -> None:
    """Only the health path hangs; requests take long enough for probes.

    Their answers are passed on at once, and end what the probes found.
    """
    fleet = OutageFleet()
    fleet.set('answers requests only')
    fleet.work_seconds = objectives * OBJECTIVE
    for _ in range(2):
        outcome, seconds = fleet.send(kind=_WRITE)
        assert outcome.kind is OutcomeKind.ANSWER
        assert seconds == pytest.approx(fleet.work_seconds)


def test_checks_cost_a_share_of_slow_requests() -> None:
    """Each of two hundred requests takes 1.4 objectives, and none is idle.

    The connections of a check cost nearly as much as the request is worth.
    With an idle connection to another upstream, no new one is opened; while
    other requests are answered, there is no probe.
    """
    fleet = OutageFleet()
    fleet.set('well')
    fleet.work_seconds = 1.4 * OBJECTIVE
    before = fleet.probes
    for _ in range(200):
        fleet.first.idle.clear()
        fleet.send(kind=_WRITE)
        fleet.clock.advance(10)
    assert 0 < fleet.probes - before <= 15 * len(UPSTREAMS)
    fleet.first.idle.update(UPSTREAMS)
    before, connections = fleet.probes, fleet.connections
    fleet.send(kind=_WRITE)
    assert (fleet.probes > before, fleet.connections) == (True, connections)
    fleet.work_seconds = 0.02
    fleet.set('hangs', 'u2')
    fleet.first.idle.intersection_update({'u2'})
    fleet.start(kind=_WRITE)
    before = fleet.probes
    for _ in range(20):
        fleet.clock.advance(0.02)
        fleet.send(kind=_WRITE)
    assert fleet.probes == before


def test_a_third_upstream_is_tried_when_the_first_two_hang() -> None:
    """The request and its hedge hang until the deadline, and one is idle."""
    fleet = OutageFleet()
    fleet.set('well', 'u2')
    fleet.first.idle.clear()
    fleet.first.idle.update(UPSTREAMS[:2])
    outcome, seconds = fleet.send()
    assert outcome.kind is OutcomeKind.ANSWER
    assert seconds < 2.5 * OBJECTIVE
    fleet.clock.advance(0.1)
    assert fleet.send()[1] < 0.05


def test_a_restarted_upstream_is_not_held_for_its_predecessor() -> None:
    """It registers again while a probe of its former process is pending.

    The probe's result comes after that, and one upstream is gone by then.
    """
    fleet = OutageFleet()
    table = fleet.first.table
    fleet.start(kind=_WRITE)
    fleet.clock.advance(1.3 * OBJECTIVE)
    for upstream in table.serving(SERVICE):
        table.put(msgspec.structs.replace(upstream, incarnation=2))
    table.remove(upstream.id)
    fleet.clock.advance(OBJECTIVE)
    assert not table.is_failing_probes(SERVICE)


def test_other_instances_refuse_after_one_short_probe() -> None:
    """They hold no request to find out, and a burst waits for one probe.

    The finder's pending probe is answered when the upstreams go on, and all
    learn that, though they refused a moment ago.
    """
    fleet = OutageFleet('abcd')
    fleet.send('a')
    fleet.clock.advance(0.1)
    for name in 'bcd':
        probes = fleet.probes
        burst = [fleet.start(name) for _ in range(20)]
        fleet.clock.advance(0.1)
        assert {ends[0][0].kind for ends in burst} == {_NOT_RUN}
        longest = max(ends[0][1] for ends in burst)
        assert longest <= OBJECTIVE * CONFIRM_SHARE + 0.001
        assert fleet.send(name)[1] == 0
        assert fleet.probes == probes + 1
        assert not fleet.instances[name].sent
    fleet.clock.advance(2)
    assert {fleet.send(name)[0].kind for name in 'bcd'} == {_NOT_RUN}
    fleet.set('well')
    fleet.clock.advance(0.3)
    assert all(fleet.is_answered(name) for name in 'abcd')


def test_an_instance_that_is_cut_off_stops_no_other_one(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Its notice is refuted by the first probe; the others' requests run."""
    fleet = OutageFleet('abcd')
    fleet.set('well')
    fleet.first.cut_off = True
    assert fleet.send('a')[0].kind is _LATE
    fleet.clock.advance(0.1)
    for name in 'bcd':
        outcome, seconds = fleet.send(name)
        assert outcome.kind is OutcomeKind.ANSWER
        assert seconds < 0.05
    assert caplog.text.count(OUTAGE_REFUTED.code) == 3


def test_a_finder_that_is_lost_blocks_nobody() -> None:
    """It was killed, so nobody says that the upstreams went on.

    Each request asks an upstream first, and the notice lapses.
    """
    fleet = OutageFleet('abcd')
    fleet.send('a')
    fleet.clock.advance(0.1)
    fleet.send('b')
    fleet.world.kill('a')
    fleet.set('well')
    fleet.clock.advance(1)
    assert fleet.is_answered('b')
    fleet.set('hangs')
    fleet.clock.advance(NOTICE_SECONDS)
    assert fleet.send('b')[0].kind is _LATE
    fleet.clock.advance(0.1)
    assert fleet.send('c')[0].kind is _NOT_RUN


def test_one_of_several_finders_goes_on_probing() -> None:
    """Four instances hold a request when the outage begins, and all find it."""
    fleet = OutageFleet('abcd')
    for name in 'abcd':
        fleet.start(name)
    fleet.clock.advance(6)
    before = fleet.probes
    fleet.clock.advance(8)
    assert fleet.probes - before <= 3 * len(UPSTREAMS)


def _play(*, probes: bool) -> tuple[OutageFleet, Ends]:
    """Return the ends of requests of sixty instances during eight seconds."""
    names = ''.join(chr(ord('A') + number) for number in range(60))
    fleet = OutageFleet(names, probes=probes)
    rng = random.Random(1)
    started: list[list[Ends]] = []
    for behavior in ('well', 'hangs', 'well'):
        fleet.set(behavior)
        started.append([])
        until = fleet.clock.now() + 8
        while fleet.clock.now() < until:
            ends = fleet.start(
                rng.choice(names), rng.choice([_READ, _WRITE]), 0.8
            )
            started[-1].append(ends)
            fleet.clock.advance(rng.expovariate(6))
    fleet.clock.advance(2)
    after = {ends[0][0].kind for ends in started[2][3:]}
    assert after == {OutcomeKind.ANSWER}
    return fleet, [ends[0] for ends in started[1][:-5]]


def test_few_requests_are_held_while_all_upstreams_hang() -> None:
    """Each instance sends a request in ten seconds, and learns from others.

    All requests would be held until their deadlines, without a word on when
    to return. Those refused have run nowhere and did not wait.
    """
    plain, probed = _play(probes=False), _play(probes=True)
    held = [sum(seconds for _, seconds in ends) for _, ends in (plain, probed)]
    refused = [end for end in probed[1] if end[0].kind is _NOT_RUN]
    for fleet, ends in (plain, probed):
        kinds = Counter(outcome.kind.value for outcome, _ in ends)
        messages = fleet.world.network.messages
        print(kinds, held, fleet.probes, fleet.connections, messages)  # noqa: T201, WPS421
    assert all(outcome.began_at is None for outcome, _ in refused)
    assert max(seconds for _, seconds in refused) <= OBJECTIVE / 4
    assert len(refused) > 0.8 * len(probed[1])
    assert held[1] < 0.2 * held[0]
    assert len({outcome.retry_after for outcome, _ in refused}) > 20
