"""Admission control when its messages or its owner are lost."""

import pytest

from guavagate.models import InstanceId, ServiceId, UpstreamId
from guavagate.ports.configuration import RouteKind
from guavagate.ports.load import LoadReport
from tests.admission.fleet import OBJECTIVE, SERVICE, SLOTS, WORK_SECONDS, Fleet

_CAPACITY = 2 * SLOTS / WORK_SECONDS


def _saturate(fleet: Fleet) -> None:
    """Let every entry know that the service is saturated."""
    for admission in fleet.admissions.values():
        admission.record_refusal(SERVICE)


def _find_entry(fleet: Fleet) -> str:
    """Return an entry that is not the queue owner."""
    return next(name for name in fleet.names if name != fleet.owner)


def test_an_owner_that_is_cut_off_delays_nobody_for_long() -> None:
    """A request goes on without it within a twentieth of the objective.

    The next ones do not try for a while, and wait for nothing.
    """
    fleet = Fleet()
    _saturate(fleet)
    entry, owner = _find_entry(fleet), InstanceId(fleet.owner)
    fleet.world.network.blocked |= {(InstanceId(entry), owner)}
    for _ in range(2):
        fleet.send('a', entry)
        fleet.clock.advance(0.1)
    first, second = fleet.replies['a']
    assert first.status == second.status == 200
    assert first.seconds <= WORK_SECONDS + OBJECTIVE / 20 + 0.001
    assert second.seconds == pytest.approx(WORK_SECONDS, abs=0.001)


@pytest.mark.parametrize('loss', ['kill', 'pause'])
def test_requests_that_wait_at_a_lost_owner_go_on(loss: str) -> None:
    """The owner is lost at the height of a burst.

    Their entries ask again, get no reply, and send them to the upstreams. The
    successor serves the queue once the membership knows.
    """
    fleet = Fleet()
    fleet.offer({'a': _CAPACITY, 'b': _CAPACITY / 4}, 4)
    fleet.clock.advance(1)
    owner = fleet.owner
    getattr(fleet.world, loss)(owner)
    fleet.names.remove(owner)
    before = len(fleet.list_served())
    fleet.clock.advance(5)
    replies = [x for each in fleet.replies.values() for x in each]
    assert max(each.seconds for each in replies) < 0.9
    assert len(fleet.list_served()) - before > 0.7 * _CAPACITY * 3
    assert fleet.owner != owner


def test_a_lost_release_costs_its_slot_until_the_deadline_only() -> None:
    """Every message from one entry to the owner is lost after the grants."""
    fleet = Fleet(upstreams=1)
    _saturate(fleet)
    entry, owner = _find_entry(fleet), InstanceId(fleet.owner)
    for _ in range(SLOTS):
        fleet.send('a', entry, until=0.5)
    fleet.clock.advance(0.01)
    fleet.world.network.blocked |= {(InstanceId(entry), owner)}
    fleet.clock.advance(0.1)
    fleet.send('b', fleet.owner, until=1)
    fleet.clock.advance(0.3)
    assert 'b' not in fleet.replies
    fleet.clock.advance(0.3)
    assert fleet.replies['b'][0].status == 200
    assert len(fleet.list_served('a')) == SLOTS


def test_a_lost_verdict_is_asked_for_again() -> None:
    """The owner grants a request that waits, and the entry does not hear it."""
    fleet = Fleet(upstreams=1)
    _saturate(fleet)
    entry, owner = _find_entry(fleet), fleet.owner
    for _ in range(SLOTS):
        fleet.send('a', owner)
    fleet.clock.advance(0.001)
    fleet.send('b', entry)
    fleet.clock.advance(0.02)
    way = (InstanceId(owner), InstanceId(entry))
    fleet.world.network.blocked |= {way}
    fleet.clock.advance(0.03)
    fleet.world.network.blocked -= {way}
    fleet.clock.advance(0.3)
    assert fleet.replies['b'][0].status == 200
    assert fleet.replies['b'][0].seconds < 0.2


def test_two_owners_for_a_moment_break_no_promise(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two halves of the entries ask different owners.

    Together they grant twice the slots; the upstreams refuse the rest, and no
    request runs twice.
    """
    fleet = Fleet()
    fleet.kind = RouteKind.NON_IDEMPOTENT
    other = _find_entry(fleet)

    def find_other(_: ServiceId) -> InstanceId:
        return InstanceId(other)

    for name in fleet.names[::2]:
        admission = fleet.admissions[name]
        monkeypatch.setattr(admission, '_find_owner', find_other)
    fleet.offer({'a': _CAPACITY, 'b': _CAPACITY / 2}, 2)
    fleet.clock.advance(4)
    served = len(fleet.list_served())
    assert fleet.ran.total() == served
    assert set(fleet.ran.values()) == {1}
    assert served > 0.85 * 2 * _CAPACITY


def test_a_caller_that_leaves_while_it_waits_frees_its_place() -> None:
    """Its request is withdrawn and runs nowhere."""
    fleet = Fleet(upstreams=1)
    _saturate(fleet)
    for _ in range(SLOTS):
        fleet.send('a', fleet.names[0])
    fleet.clock.advance(0.01)
    caller = fleet.send('b', fleet.names[1])
    fleet.clock.advance(0.005)
    caller.disconnected.set()
    caller.leave()  # type: ignore[operator]
    owner = fleet.admissions[fleet.owner]._owner
    assert owner.waiting == 1
    fleet.clock.advance(0.01)
    assert owner.waiting == 0
    fleet.clock.advance(0.5)
    assert fleet.ran.total() == SLOTS
    assert owner._services[SERVICE].queue.running == 0


def test_a_report_of_waiting_requests_is_a_sign_and_an_old_one_is_none() -> (
    None
):
    """Upstreams that queue do not refuse. The state ends after quiet time."""
    fleet = Fleet()
    entry = _find_entry(fleet)
    table = fleet.tables[entry]
    table.record_report(UpstreamId('u-0'), LoadReport(running=SLOTS, waiting=1))
    fleet.clock.advance(1)
    fleet.send('a', entry)
    fleet.clock.advance(0.2)
    assert fleet.count_messages() == 0
    table.record_report(UpstreamId('u-0'), LoadReport(running=SLOTS, waiting=1))
    fleet.send('a', entry)
    fleet.clock.advance(0.2)
    asked = fleet.count_messages()
    assert asked > 0
    fleet.clock.advance(3)
    fleet.send('a', entry)
    fleet.clock.advance(0.2)
    assert fleet.count_messages() == asked
    assert len(fleet.list_served()) == 3


def test_refusals_for_other_reasons_are_no_sign() -> None:
    """The upstreams report free slots: something else kept the request off."""
    fleet = Fleet()
    entry = _find_entry(fleet)
    for name in ('u-0', 'u-1'):
        fleet.tables[entry].record_report(
            UpstreamId(name), LoadReport(running=1)
        )
    assert not fleet.admissions[entry].record_refusal(SERVICE)
    fleet.send('a', entry)
    fleet.clock.advance(0.2)
    assert fleet.count_messages() == 0


def test_an_entry_does_not_follow_the_owner_to_a_failing_upstream() -> None:
    """The owner has not met its failures yet."""
    fleet = Fleet()
    _saturate(fleet)
    entry = _find_entry(fleet)
    for _ in range(2):
        fleet.tables[entry].record_failure(UpstreamId('u-0'))
    for _ in range(2):
        fleet.send('a', entry)
        fleet.clock.advance(0.02)
        assert fleet.busy['u-0'] == 0
    fleet.clock.advance(0.2)
    assert len(fleet.list_served()) == 2
