"""Services of which no upstream responds: found, refused, and found again."""

import msgspec
import pytest

from guavagate.forwarding import OutcomeKind
from guavagate.ports.configuration import RouteKind
from tests.forwarding.outage_fleet import (
    OBJECTIVE,
    SERVICE,
    UPSTREAMS,
    Behavior,
    make_hanging,
)

_READ, _WRITE = RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT


@pytest.mark.parametrize('refusing', [(), UPSTREAMS[:2]])
def test_requests_end_at_once_while_all_upstreams_fail_probes(
    refusing: tuple[str, ...],
) -> None:
    """The first one was sent, so it timed out; later ones have run nowhere.

    Callers would wait for 1.5 s, and occupy the entry meanwhile. It is the same
    where some upstreams have ended and the others hang.
    """
    fleet = make_hanging()
    fleet.set_behavior(Behavior.REFUSES, *refusing or ('',))
    end = fleet.send()
    assert end.outcome.kind is OutcomeKind.LATE
    assert end.outcome.began_at is not None
    assert end.seconds < 2.5 * OBJECTIVE
    fleet.set_behavior(Behavior.HANGS)
    fleet.clock.advance(4)
    sent = fleet.instances['a'].sent.total()
    for kind in (_WRITE, _READ):
        end = fleet.send(kind=kind)
        assert end.outcome.kind is OutcomeKind.NOT_RUN
        assert end.outcome.began_at is None
        assert end.seconds == 0
    assert fleet.instances['a'].sent.total() == sent


def test_a_non_idempotent_request_is_never_reported_as_not_run() -> None:
    """An upstream may run it, so it waits for an answer until its deadline."""
    end = make_hanging().send(kind=_WRITE)
    assert end.outcome.kind is OutcomeKind.LATE
    assert end.seconds > 1
    fleet = make_hanging()
    ends = fleet.start(kind=_WRITE)
    fleet.clock.advance(0.5)
    fleet.set_behavior(Behavior.WELL)
    fleet.clock.advance(0.1)
    assert ends[0].outcome.kind is OutcomeKind.ANSWER
    assert fleet.instances['a'].sent.total() == 2


def test_the_first_answer_ends_the_state() -> None:
    """One upstream goes on; its pending probe is answered at once."""
    fleet = make_hanging()
    fleet.send()
    fleet.clock.advance(3)
    fleet.set_behavior(Behavior.WELL, 'u1')
    fleet.clock.advance(0.3)
    assert fleet.send().outcome.kind is OutcomeKind.ANSWER


def test_refusing_upstreams_are_known_without_a_probe() -> None:
    """All processes have ended; each attempt ends within a round trip."""
    fleet = make_hanging()
    fleet.set_behavior(Behavior.REFUSES)
    end = fleet.send(kind=_WRITE)
    assert end.outcome.kind is OutcomeKind.NOT_RUN
    assert end.seconds < 0.05
    fleet.set_behavior(Behavior.WELL)
    assert fleet.send(kind=_WRITE).outcome.kind is OutcomeKind.ANSWER


def test_upstreams_that_answer_probes_only_count_by_their_requests() -> None:
    """Two requests that time out at each upstream count, as without probes."""
    fleet = make_hanging()
    fleet.set_behavior(Behavior.PROBES_ONLY)
    table = fleet.instances['a'].table
    for _ in range(2):
        assert fleet.send(kind=_WRITE).outcome.kind is OutcomeKind.LATE
        assert not table.is_unavailable(SERVICE)
    fleet.clock.advance(60)
    while not table.is_unavailable(SERVICE):
        assert fleet.send().outcome.kind is OutcomeKind.LATE
    ends = []
    for _ in range(10):
        ends.append(fleet.start(kind=_WRITE))
        fleet.clock.advance(0.01)
    refused = [end[0].outcome.kind for end in ends if end]
    assert refused == [OutcomeKind.NOT_RUN] * (10 - len(UPSTREAMS))


@pytest.mark.parametrize('objectives', [1.3, 2])
def test_probes_that_hang_delay_no_request(objectives: float) -> None:
    """Only the health path hangs; requests take long enough for probes.

    Their answers are passed on at once, and end what the probes found.
    """
    fleet = make_hanging()
    fleet.set_behavior(Behavior.REQUESTS_ONLY)
    fleet.work_seconds = objectives * OBJECTIVE
    for _ in range(2):
        end = fleet.send(kind=_WRITE)
        assert end.outcome.kind is OutcomeKind.ANSWER
        assert end.seconds == pytest.approx(fleet.work_seconds)


def test_a_slow_request_opens_no_connections_for_probes() -> None:
    """An idle connection to another upstream tells that the service works.

    Nor is there any probe while other requests are answered.
    """
    fleet = make_hanging()
    fleet.set_behavior(Behavior.WELL)
    fleet.work_seconds = 1.4 * OBJECTIVE
    fleet.instances['a'].idle.update(UPSTREAMS)
    before = fleet.connections, fleet.probes
    fleet.send(kind=_WRITE)
    assert fleet.connections == before[0]
    assert fleet.probes > before[1]
    fleet.set_behavior(Behavior.HANGS, 'u2')
    fleet.instances['a'].idle.clear()
    fleet.instances['a'].idle.add('u2')
    fleet.work_seconds = 0.02
    fleet.start(kind=_WRITE)
    probes = fleet.probes
    for _ in range(20):
        fleet.clock.advance(0.02)
        fleet.send(kind=_WRITE)
    assert fleet.probes == probes


def test_checks_of_a_slow_service_are_a_share_of_its_requests() -> None:
    """Each of two hundred requests takes 1.4 objectives, and none is idle.

    The connections of a check cost nearly as much as the request is worth.
    """
    fleet = make_hanging()
    fleet.set_behavior(Behavior.WELL)
    fleet.work_seconds = 1.4 * OBJECTIVE
    before = fleet.probes
    for _ in range(200):
        fleet.instances['a'].idle.clear()
        fleet.send(kind=_WRITE)
        fleet.clock.advance(10)
    assert 0 < fleet.probes - before <= 15 * len(UPSTREAMS)


def test_a_third_upstream_is_tried_when_the_first_two_fail_probes() -> None:
    """The request and its hedge hang until the deadline, and one is idle."""
    fleet = make_hanging()
    fleet.set_behavior(Behavior.WELL, 'u2')
    fleet.instances['a'].idle.clear()
    fleet.instances['a'].idle.update(UPSTREAMS[:2])
    end = fleet.send()
    assert end.outcome.kind is OutcomeKind.ANSWER
    assert end.seconds < 2.5 * OBJECTIVE
    assert set(fleet.instances['a'].sent) == set(UPSTREAMS)
    fleet.clock.advance(0.1)
    assert fleet.send().seconds < 0.05


def test_a_restarted_upstream_is_not_held_for_its_predecessor() -> None:
    """It registers again while a probe of its former process is pending.

    The probe's result comes after that, and one upstream is gone by then.
    """
    fleet = make_hanging()
    table = fleet.instances['a'].table
    fleet.start(kind=_WRITE)
    fleet.clock.advance(1.3 * OBJECTIVE)
    for upstream in table.serving(SERVICE):
        table.put(msgspec.structs.replace(upstream, incarnation=2))
    table.remove(upstream.id)
    fleet.clock.advance(OBJECTIVE)
    assert not table.is_failing_probes(SERVICE)
    assert table.get(upstream.id) is None
