"""Owners that are lost or cut off, and successors that work in their place."""

from collections.abc import Callable

import pytest

from guavagate.exceptions import StoreUnavailableError
from guavagate.jobs import ItemId, JobId, LookupStatus
from guavagate.jobs._replicas import TextCopy, TextPart
from guavagate.models import InstanceId, WeightVersion
from tests.jobs.fleet import JobFleet, Node, check_complete, make_job
from tests.jobs.samplers import SERVICE

_COMPLETION_SECONDS = 20
_LENGTH = 60
# The time in which a successor works on the jobs of a lost owner; the
# membership notices after 2 s.
_TAKEOVER_SECONDS = 1.1


class _Fleet(JobFleet):
    """Four instances, named by their roles for the service's jobs."""

    def __init__(self, **fields: int) -> None:
        super().__init__('abcd', length=_LENGTH, **fields)  # type: ignore[arg-type]
        self.clock.advance(1)
        roles = iter(self.nodes['a'].ownership.list_in_turn(SERVICE))
        self.first = str(next(roles))
        self.successor = str(next(roles))
        self.second = str(next(roles))
        self.entry = str(next(roles))

    def get(self, name: str) -> Node:
        """Return an instance."""
        return self.nodes[name]

    def cut(self, name: str, *others: str) -> None:
        """Drop all messages between an instance and others."""
        for other in others:
            pair = InstanceId(name), InstanceId(other)
            self.world.network.blocked |= {pair, (pair[1], pair[0])}

    def cut_from_all(self, name: str) -> None:
        """Drop all messages of an instance to and from others."""
        self.cut(name, *(each for each in self.nodes if each != name))

    def count_started(self, name: str) -> int:
        """Return how many items an instance has started."""
        return len(self.nodes[name].samplers.started)

    def cut_from_store(self, name: str) -> Callable[[], None]:
        """Fail an instance's store calls; return a function that ends it."""
        store = self.nodes[name].job_store.object_store
        call = store._call  # type: ignore[attr-defined]

        def fail(*_: object) -> None:
            store.clock.sleep(0.2)  # type: ignore[attr-defined]
            raise StoreUnavailableError('cut off', 'nothing')

        store._call = fail  # type: ignore[attr-defined]

        def mend() -> None:
            store._call = call  # type: ignore[attr-defined]

        return mend


@pytest.fixture
def fleet() -> _Fleet:
    """Return a fleet whose owner runs a job of six texts."""
    fleet = _Fleet()
    fleet.submit(make_job(), fleet.entry)
    fleet.clock.advance(1.6)
    assert fleet.count_started(fleet.first) == 6
    return fleet


def test_texts_of_a_killed_owner_resume_before_the_membership_notices(
    fleet: _Fleet,
) -> None:
    """Every moment until its longest texts resume makes the step later."""
    fleet.world.kill(fleet.first)
    fleet.clock.advance(_TAKEOVER_SECONDS)
    started = fleet.get(fleet.successor).samplers.started
    assert len(started) == 6
    assert min(after for _, _, after in started) > 15
    fleet.nodes.pop(fleet.first)
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, fleet.entry, 6)
    assert not fleet.count_started(fleet.second)


def test_frozen_owner_gets_its_jobs_and_the_texts_back(fleet: _Fleet) -> None:
    """It is frozen for 1.7 s, too short for the membership.

    The successor works meanwhile. The owner wakes with half a minute of events
    unread, and must not generate again what the successor generated.
    """
    owner = fleet.get(fleet.first)
    fleet.world.pause(fleet.first)
    fleet.clock.advance(1.7)
    assert fleet.get(fleet.successor).owner.active
    fleet.world.resume(fleet.first)
    fleet.clock.advance(0.8)
    assert not fleet.get(fleet.successor).owner.active
    assert owner.owner.active
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, fleet.entry, 6)
    assert max(owner.samplers.generated.values()) <= _LENGTH


def test_owner_adopts_longer_texts_that_are_returned(fleet: _Fleet) -> None:
    """Its runs stalled while it was frozen, those of the successor did not."""
    owner, successor = fleet.get(fleet.first), fleet.get(fleet.successor)
    fleet.world.pause(fleet.first)
    owner.samplers.stalled |= set('xyz')
    fleet.clock.advance(1.7)
    fleet.world.resume(fleet.first)
    fleet.clock.advance(0.6)
    owner.samplers.stalled.clear()
    fleet.clock.advance(0.1)
    resumed = {item: after for item, _, after in owner.samplers.started}
    ends = [
        after + successor.samplers.generated[item]
        for item, _, after in successor.samplers.started
    ]
    assert min(ends) > 35
    assert min(resumed.values()) >= min(ends) - 1
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, fleet.entry, 6)


def test_owner_cut_off_from_all_and_its_successor_commit_each_item_once(
    fleet: _Fleet,
) -> None:
    """Both reach the store and the samplers, and work on the same jobs.

    The chunk numbers decide. The loser adopts what the other committed, and
    both end with the same results.
    """
    fleet.cut_from_all(fleet.first)
    fleet.clock.advance(_TAKEOVER_SECONDS)
    assert fleet.count_started(fleet.successor) == 6
    fleet.clock.advance(2)
    fleet.world.network.blocked.clear()
    fleet.clock.advance(_COMPLETION_SECONDS)
    assert not fleet.get(fleet.successor).owner.active
    for name in fleet.nodes:
        check_complete(fleet, name, 6)


def test_owner_cut_off_from_its_successor_only_keeps_its_jobs(
    fleet: _Fleet,
) -> None:
    """The other instances reach it, so it works."""
    fleet.cut(fleet.first, fleet.successor)
    fleet.clock.advance(_COMPLETION_SECONDS)
    assert not fleet.count_started(fleet.successor)
    fleet.world.network.blocked.clear()
    check_complete(fleet, fleet.entry, 6)


def test_successor_that_is_cut_off_from_all_takes_nothing_over(
    fleet: _Fleet,
) -> None:
    """It receives no heartbeats, but neither does anybody answer it."""
    fleet.cut_from_all(fleet.successor)
    fleet.clock.advance(5)
    assert not fleet.count_started(fleet.successor)


def test_frozen_successor_takes_nothing_over(fleet: _Fleet) -> None:
    """By its own clock the owner was silent while it was frozen itself."""
    fleet.world.pause(fleet.successor)
    fleet.clock.advance(1.5)
    fleet.world.resume(fleet.successor)
    fleet.clock.advance(2)
    assert not fleet.count_started(fleet.successor)


def test_owner_cut_off_from_the_store_keeps_its_jobs(fleet: _Fleet) -> None:
    """A successor would not list the results any earlier than the owner.

    The texts are generated meanwhile, and committed once it reaches the store.
    """
    mend = fleet.cut_from_store(fleet.first)
    fleet.clock.advance(3)
    assert not fleet.count_started(fleet.successor)
    assert fleet.count_started(fleet.first) == 6
    mend()
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, fleet.entry, 6)
    assert max(fleet.get(fleet.first).samplers.generated.values()) == _LENGTH


def test_job_accepted_after_a_takeover_runs_at_the_successor(
    fleet: _Fleet,
) -> None:
    """The entry announces it to the lost owner and to its successor."""
    fleet.world.kill(fleet.first)
    fleet.clock.advance(_TAKEOVER_SECONDS)
    store = fleet.get(fleet.successor).owner._job_mirror
    store.stop()
    fleet.submit(make_job('job-2', groups=1), fleet.entry)
    fleet.clock.advance(0.2)
    assert fleet.count_started(fleet.successor) == 8


def test_return_that_is_lost_leaves_the_owner_with_its_own_texts(
    fleet: _Fleet,
) -> None:
    """The connection breaks again as the jobs are returned."""
    fleet.world.pause(fleet.first)
    fleet.clock.advance(1.7)
    fleet.world.resume(fleet.first)
    pair = InstanceId(fleet.successor), InstanceId(fleet.first)
    fleet.world.network.blocked.add(pair)
    fleet.clock.advance(_COMPLETION_SECONDS)
    fleet.world.network.blocked.clear()
    check_complete(fleet, fleet.entry, 6)


def test_owner_that_leaves_hands_its_texts_over(fleet: _Fleet) -> None:
    """A planned stop lost up to half a second of each text before."""
    owner, successor = fleet.get(fleet.first), fleet.get(fleet.successor)
    fleet.clock.advance(0.2)
    made = min(owner.samplers.generated.values())
    owner.ownership.ready = False
    owner.owner.stop(InstanceId(fleet.successor))
    fleet.clock.advance(0.1)
    fleet.world.announce(InstanceId(fleet.first), alive=False, after=0)
    fleet.clock.advance(0.5)
    started = successor.samplers.started
    assert len(started) == 6
    assert min(after for _, _, after in started) >= made
    assert owner.samplers.generated.total() >= 6 * made


def test_text_is_not_replaced_while_a_run_appends_to_it(
    fleet: _Fleet,
) -> None:
    """A run that ends just then would mark the other text as complete.

    The run is cancelled first, and the item resumes from the longer text.
    """
    owner = fleet.get(fleet.first)
    active = owner.owner._active_jobs.get(JobId('job-1'))
    assert active is not None
    progress = active.work.items[ItemId('0-0')]
    before = progress.text
    events = [f'0-0/{number}' for number in range(1, 55)]
    part = TextPart(
        JobId('job-1'), progress.item.id, 1, 0, events, [WeightVersion(1)]
    )
    message = TextCopy(
        service=SERVICE,
        boot=7,
        jobs=[JobId('job-1')],
        parts=[part],
        handover=True,
    )
    owner.replicas._on_copy(InstanceId(fleet.successor), message)
    assert not owner.replicas.adopt(active.work)
    assert progress.text is before
    fleet.clock.advance(0.2)
    assert owner.samplers.started[-1][0] == '0-0'
    assert owner.samplers.started[-1][2] == 54
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, fleet.entry, 6)


def test_readers_get_results_from_the_successor_of_a_frozen_owner(
    fleet: _Fleet,
) -> None:
    """Its connection accepts reads, but nothing answers.

    The trainer's reads would all wait for the owner and then list results from
    the store, until the membership notices. The successor lists them once.
    """
    fleet.world.pause(fleet.first)
    fleet.clock.advance(_TAKEOVER_SECONDS)
    calls = fleet.world.store.calls
    before = calls['list'], calls['get']
    assert fleet.read('job-1', fleet.entry)[0] is LookupStatus.FOUND
    began_at = fleet.clock.now()
    for _ in range(5):
        assert fleet.read('job-1', fleet.entry)[0] is LookupStatus.FOUND
    assert fleet.clock.now() - began_at < 0.05
    assert (calls['list'], calls['get']) == (before[0] + 1, before[1])


def test_reader_asks_the_store_if_the_successor_does_not_stand_in(
    fleet: _Fleet,
) -> None:
    """The owner is cut off from the reader only; nobody took its jobs over."""
    fleet.cut(fleet.first, fleet.entry)
    for _ in range(2):
        assert fleet.read('job-1', fleet.entry)[0] is LookupStatus.FOUND
    assert not fleet.get(fleet.successor).owner.active


def test_item_bodies_come_from_the_successor_of_a_frozen_owner(
    fleet: _Fleet,
) -> None:
    """A scoring service reads them while the owner does not answer."""
    fleet.world.pause(fleet.first)
    fleet.clock.advance(_TAKEOVER_SECONDS)
    node = fleet.get(fleet.second)
    calls = fleet.world.store.calls
    before = calls['list'], calls['get']
    task = node.clock.spawn(
        node.reader.read_item, [SERVICE], JobId('job-1'), ItemId('0-0')
    )
    fleet.clock.run_until(task.ready, 5)
    assert task.get(block=False) == (LookupStatus.FOUND, b'body')
    assert (calls['list'], calls['get']) == before
