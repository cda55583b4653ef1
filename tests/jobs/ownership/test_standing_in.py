"""Owners that are lost or cut off, and successors that work in their place."""

from collections.abc import Callable

import pytest

from guavagate.exceptions import StoreUnavailableError
from guavagate.jobs import ItemId, JobId, LookupStatus
from guavagate.jobs.texts._replicas import TextCopy, TextPart
from guavagate.models import WeightVersion
from tests.jobs.fleet import Node, RoleFleet, make_job
from tests.jobs.samplers import SERVICE

_LENGTH = 60
# The time in which a successor works on the jobs of a lost owner; the
# membership notices after 2 s.
_TAKEOVER_SECONDS = 1.1
_JOB = JobId('job-1')


def _freeze(fleet: RoleFleet, node: Node, seconds: float) -> None:
    fleet.world.pause(node.ownership.me)
    fleet.clock.advance(seconds)
    fleet.world.resume(node.ownership.me)


def _cut_from_store(node: Node) -> Callable[[], None]:
    """Fail an instance's store calls; return a function that ends it."""
    store = node.job_store.object_store
    call = store._call  # type: ignore[attr-defined]

    def fail(*_: object) -> None:
        store.clock.sleep(0.2)  # type: ignore[attr-defined]
        raise StoreUnavailableError('cut off', 'nothing')

    store._call = fail  # type: ignore[attr-defined]
    return lambda: setattr(store, '_call', call)


@pytest.fixture
def fleet() -> RoleFleet:
    """Return four instances whose owner runs a job of six texts."""
    fleet = RoleFleet('abcd', _LENGTH)
    fleet.accept(make_job())
    fleet.clock.advance(1.6)
    assert len(fleet.first.samplers.started) == 6
    return fleet


def test_texts_of_a_killed_owner_resume_before_the_membership_notices(
    fleet: RoleFleet,
) -> None:
    """Every moment until its longest texts resume makes the step later.

    The entry announces the next job to the lost owner and to its successor.
    """
    fleet.kill_owner()
    fleet.clock.advance(_TAKEOVER_SECONDS)
    node = fleet.successor
    started = node.samplers.started
    assert len(started) == 6
    assert min(after for _, _, after in started) > 15
    node.owner._loader._job_mirror.stop()
    fleet.accept(make_job('job-2', groups=1))
    fleet.clock.advance(0.2)
    assert len(started) == 8
    fleet.complete()


def test_frozen_owner_gets_its_jobs_and_the_longer_texts_back(
    fleet: RoleFleet,
) -> None:
    """It is frozen for 1.7 s, too short for the membership, and its runs stall.

    It must not generate again what its successor generated meanwhile.
    """
    owner, successor = fleet.first, fleet.successor
    owner.samplers.stalled |= set('xyz')
    _freeze(fleet, fleet.first, 1.7)
    assert successor.owner.active
    fleet.clock.advance(0.6)
    assert not successor.owner.active
    owner.samplers.stalled.clear()
    fleet.clock.advance(0.1)
    resumed = {item: after for item, _, after in owner.samplers.started}
    ends = [
        after + successor.samplers.generated[item]
        for item, _, after in successor.samplers.started
    ]
    assert min(ends) > 35
    assert min(resumed.values()) >= min(ends) - 1
    fleet.complete()


def test_owner_cut_off_from_all_and_its_successor_commit_each_item_once(
    fleet: RoleFleet,
) -> None:
    """Both reach the store and the samplers, and work on the same jobs.

    The chunk numbers decide. The loser adopts what the other committed, and
    both end with the same results.
    """
    fleet.cut(fleet.first)
    fleet.clock.advance(_TAKEOVER_SECONDS)
    assert len(fleet.successor.samplers.started) == 6
    fleet.clock.advance(2)
    fleet.world.network.blocked.clear()
    fleet.complete()
    assert not fleet.successor.owner.active


@pytest.mark.parametrize(
    'fault',
    [
        # The other instances reach the owner.
        lambda fleet: fleet.cut(fleet.first, fleet.successor),
        # Nobody answers the successor.
        lambda fleet: fleet.cut(fleet.successor),
        # Heartbeats of the owner are unread.
        lambda fleet: _freeze(fleet, fleet.successor, 1.5),
        # The owner would not commit any later than its successor.
        lambda fleet: _cut_from_store(fleet.first),
    ],
    ids=['link', 'successor cut off', 'successor frozen', 'store'],
)
def test_owner_that_works_keeps_its_jobs(
    fleet: RoleFleet, fault: Callable[[RoleFleet], Callable[[], None] | None]
) -> None:
    """Its successor receives no heartbeats, or the store is out of reach."""
    mend = fault(fleet)
    fleet.clock.advance(3)
    assert not fleet.successor.samplers.started
    assert len(fleet.first.samplers.started) == 6
    if mend is not None:
        mend()
    fleet.complete()
    assert max(fleet.first.samplers.generated.values()) == _LENGTH


def test_owner_that_leaves_hands_its_texts_over(fleet: RoleFleet) -> None:
    """A planned stop lost up to half a second of each text before."""
    owner, successor = fleet.first, fleet.successor
    fleet.clock.advance(0.2)
    made = min(owner.samplers.generated.values())
    owner.ownership.ready = False
    owner.owner.stop(fleet.successor.ownership.me)
    fleet.clock.advance(0.1)
    fleet.world.announce(fleet.first.ownership.me, alive=False, after=0)
    fleet.clock.advance(0.5)
    started = successor.samplers.started
    assert len(started) == 6
    assert min(after for _, _, after in started) >= made


def test_text_is_not_replaced_while_a_run_appends_to_it(
    fleet: RoleFleet,
) -> None:
    """A run that ends just then would mark the other text as complete.

    The run is cancelled first, and the item resumes from the longer text.
    """
    owner = fleet.first
    work = owner.owner._active_jobs.list_open()[0]
    progress = work.items[ItemId('0-0')]
    before = progress.text
    events = [f'0-0/{number}' for number in range(1, 55)]
    part = TextPart(_JOB, progress.item.id, 1, 0, events, [WeightVersion(1)])
    message = TextCopy(
        service=SERVICE, boot=7, jobs=[_JOB], parts=[part], handover=True
    )
    owner.replicas._on_copy(fleet.successor.ownership.me, message)
    assert not owner.replicas.adopt(work)
    assert progress.text is before
    fleet.clock.advance(0.2)
    assert owner.samplers.started[-1][0] == '0-0'
    assert owner.samplers.started[-1][2] == 54
    fleet.complete()


def test_readers_are_served_by_the_successor_of_a_frozen_owner(
    fleet: RoleFleet,
) -> None:
    """Its connection accepts reads, but nothing answers.

    The trainer's reads would all wait for the owner and then list results from
    the store, until the membership notices. The successor lists them once.
    """
    fleet.world.pause(fleet.first.ownership.me)
    fleet.clock.advance(_TAKEOVER_SECONDS)
    calls = fleet.world.store.calls
    before = calls['list'], calls['get']
    assert fleet.read(_JOB, fleet.entry.ownership.me)[0] is LookupStatus.FOUND
    began_at = fleet.clock.now()
    for _ in range(5):
        assert (
            fleet.read(_JOB, fleet.entry.ownership.me)[0] is LookupStatus.FOUND
        )
    assert fleet.clock.now() - began_at < 0.05
    node = fleet.successor
    task = node.clock.spawn(
        node.reader.read_item, [SERVICE], _JOB, ItemId('0-0')
    )
    fleet.clock.run_until(task.ready, 5)
    assert task.get(block=False) == (LookupStatus.FOUND, b'body')
    assert (calls['list'], calls['get']) == (before[0] + 1, before[1])
    fleet.world.resume(fleet.first.ownership.me)
    fleet.cut(fleet.first, fleet.entry)
    fleet.clock.advance(2)
    assert fleet.read(_JOB, fleet.entry.ownership.me)[0] is LookupStatus.FOUND
