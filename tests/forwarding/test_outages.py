"""Services of which no upstream responds: found, refused, and found again."""

import msgspec
import pytest

from guavagate.forwarding import OutcomeKind
from guavagate.ports.configuration import RouteKind
from tests.forwarding.outage_fleet import (
    OBJECTIVE,
    SERVICE,
    UPSTREAMS,
    Mood,
    make_hanging,
)

_WRITE = RouteKind.NON_IDEMPOTENT


def test_an_idempotent_request_ends_once_all_upstreams_are_silent() -> None:
    """It was sent, so the outcome is a timeout, but long before its deadline.

    Its caller would wait for 1.5 s, and occupy the entry meanwhile.
    """
    end = make_hanging('a').send()
    assert end.outcome.kind is OutcomeKind.LATE
    assert end.outcome.began_at is not None
    assert end.seconds < 2.5 * OBJECTIVE


def test_the_next_request_is_refused_at_once_and_not_sent() -> None:
    """The first one's probes have found out, so this one has run nowhere."""
    fleet = make_hanging('a')
    fleet.send()
    sent = fleet.instances['a'].sent.total()
    for kind in (_WRITE, RouteKind.IDEMPOTENT):
        end = fleet.send(kind=kind)
        assert end.outcome.kind is OutcomeKind.NOT_RUN
        assert end.outcome.began_at is None
        assert end.outcome.retry_after > 0
        assert end.seconds == 0
    assert fleet.instances['a'].sent.total() == sent


def test_a_non_idempotent_request_is_never_reported_as_not_run() -> None:
    """It hangs at an upstream, which may run it: 504 at its deadline."""
    end = make_hanging('a').send(kind=_WRITE)
    assert end.outcome.kind is OutcomeKind.LATE
    assert end.seconds > 1


def test_a_non_idempotent_request_gets_an_answer_before_its_deadline() -> None:
    """The upstreams go on after half a second; nothing else can answer it."""
    fleet = make_hanging('a')
    task, ends = fleet.start(kind=_WRITE)
    fleet.clock.advance(0.5)
    fleet.set_mood(Mood.WELL)
    fleet.clock.run_until(task.ready, 2)
    assert ends[0].outcome.kind is OutcomeKind.ANSWER
    assert fleet.instances['a'].sent.total() == 2


def test_the_first_answer_ends_the_state() -> None:
    """One upstream goes on; its pending probe is answered at once."""
    fleet = make_hanging('a')
    fleet.send()
    fleet.clock.advance(3)
    fleet.set_mood(Mood.WELL, 'u1')
    fleet.clock.advance(0.3)
    assert fleet.send().outcome.kind is OutcomeKind.ANSWER


def test_refusing_upstreams_are_known_without_a_probe() -> None:
    """All processes have ended; each attempt ends within a round trip."""
    fleet = make_hanging('a')
    fleet.set_mood(Mood.REFUSES)
    end = fleet.send(kind=_WRITE)
    assert end.outcome.kind is OutcomeKind.NOT_RUN
    assert end.seconds < 0.05
    fleet.set_mood(Mood.WELL)
    assert fleet.send(kind=_WRITE).outcome.kind is OutcomeKind.ANSWER


def test_upstreams_that_hang_and_refuse_make_one_outage() -> None:
    """Two have ended and the third hangs."""
    fleet = make_hanging('a')
    fleet.set_mood(Mood.REFUSES, 'u0', 'u1')
    end = fleet.send()
    assert end.outcome.kind is OutcomeKind.LATE
    assert end.seconds < 2.5 * OBJECTIVE


def test_upstreams_that_answer_probes_only_count_by_their_requests() -> None:
    """Requests hang though the health path answers: probes refuse nothing.

    Two requests that time out at each upstream do, as without probes.
    """
    fleet = make_hanging('a')
    fleet.set_mood(Mood.PROBES_ONLY)
    table = fleet.instances['a'].table
    for _ in range(2):
        assert fleet.send(kind=_WRITE).outcome.kind is OutcomeKind.LATE
        assert not table.is_unavailable(SERVICE)
    fleet.clock.advance(60)
    while not table.is_unavailable(SERVICE):
        assert fleet.send().outcome.kind is OutcomeKind.LATE
    ends = []
    for _ in range(10):
        ends.append(fleet.start(kind=_WRITE)[1])
        fleet.clock.advance(0.01)
    refused = [end[0].outcome.kind for end in ends if end]
    assert refused == [OutcomeKind.NOT_RUN] * (10 - len(UPSTREAMS))


def test_upstreams_that_answer_requests_only_are_tried_again() -> None:
    """The health path hangs. Slow requests have it found silent.

    A request's own answer tells more than the probes, and ends the state.
    """
    fleet = make_hanging('a')
    fleet.set_mood(Mood.REQUESTS_ONLY)
    fleet.work_seconds = 2 * OBJECTIVE
    assert fleet.send(kind=_WRITE).outcome.kind is OutcomeKind.ANSWER
    assert fleet.send(kind=_WRITE).outcome.kind is OutcomeKind.ANSWER


def test_probes_delay_no_request() -> None:
    """An answer that arrives while probes hang is passed on at once."""
    fleet = make_hanging('a')
    fleet.set_mood(Mood.REQUESTS_ONLY)
    fleet.work_seconds = 1.3 * OBJECTIVE
    end = fleet.send(kind=_WRITE)
    assert end.outcome.kind is OutcomeKind.ANSWER
    assert end.seconds == pytest.approx(1.3 * OBJECTIVE)


def test_a_slow_request_opens_no_connections_for_probes() -> None:
    """An idle connection to another upstream tells that the service works."""
    fleet = make_hanging('a')
    fleet.set_mood(Mood.WELL)
    fleet.work_seconds = 1.4 * OBJECTIVE
    instance = fleet.instances['a']
    instance.idle = set(UPSTREAMS)
    before = fleet.connections
    fleet.send(kind=_WRITE)
    assert fleet.connections == before


def test_checks_of_a_slow_service_are_a_share_of_its_requests() -> None:
    """Each of two hundred requests takes 1.4 objectives, ten seconds apart.

    No connection is idle. Each check would open up to three, and they cost
    nearly as much as the request is worth.
    """
    fleet = make_hanging('a')
    fleet.set_mood(Mood.WELL)
    fleet.work_seconds = 1.4 * OBJECTIVE
    before = fleet.probes
    for _ in range(200):
        fleet.instances['a'].idle.clear()
        fleet.send(kind=_WRITE)
        fleet.clock.advance(10)
    assert 0 < fleet.probes - before <= 15 * len(UPSTREAMS)


def test_a_request_is_not_checked_while_others_are_answered() -> None:
    """One request takes long, but the service answers others meanwhile."""
    fleet = make_hanging('a')
    fleet.set_mood(Mood.WELL, 'u0', 'u1')
    fleet.instances['a'].idle = {'u2'}
    fleet.start(kind=_WRITE)
    before = fleet.probes
    for _ in range(20):
        fleet.clock.advance(0.02)
        fleet.send(kind=_WRITE)
    assert fleet.probes == before


def test_a_third_upstream_is_tried_when_the_first_two_are_silent() -> None:
    """Two of three hang; the request and its hedge went there.

    It would be given up at its deadline, though an upstream is idle.
    """
    fleet = make_hanging('a')
    fleet.set_mood(Mood.WELL, 'u2')
    instance = fleet.instances['a']
    instance.idle = {'u0', 'u1'}
    end = fleet.send()
    assert end.outcome.kind is OutcomeKind.ANSWER
    assert end.seconds < 2.5 * OBJECTIVE
    assert set(instance.sent) == set(UPSTREAMS)
    fleet.clock.advance(0.1)
    assert fleet.send().seconds < 0.05


def test_a_restarted_upstream_is_not_held_for_its_predecessor() -> None:
    """It registers again while a probe of its former process is pending.

    The probe's result comes after that, and one upstream is gone by then.
    """
    fleet = make_hanging('a')
    table = fleet.instances['a'].table
    fleet.start(kind=_WRITE)
    fleet.clock.advance(1.3 * OBJECTIVE)
    for upstream in table.serving(SERVICE):
        table.put(msgspec.structs.replace(upstream, incarnation=2))
    table.remove(upstream.id)
    fleet.clock.advance(OBJECTIVE)
    assert not table.is_silent(SERVICE)
    assert table.get(upstream.id) is None
