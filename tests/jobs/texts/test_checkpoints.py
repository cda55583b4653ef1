"""Checkpoints of long texts in the store: losses of all other copies."""

from guavagate.jobs import JobId
from guavagate.jobs._models import texts_path
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._work import JobWork
from guavagate.jobs.texts._checkpoints import MAX_CHARACTERS, TextCheckpoints
from guavagate.measure.fakes import MemoryStore
from guavagate.models import WeightVersion
from guavagate.ports.sampler import TextEvent
from tests.jobs.fleet import JobFleet, Node, check_complete, make_job


def _lose_everything(fleet: JobFleet) -> Node:
    """Replace the only instance by one with neither memory nor disk."""
    fleet.nodes['a'].owner.stop()
    fleet.nodes['a'] = Node(fleet, 'a')
    again = fleet.nodes['a']
    again.samplers.length = 80
    again.owner.start()
    return again


def test_long_texts_resume_after_all_copies_are_lost() -> None:
    """All instances lose power while a step runs, and the disks are wiped."""
    fleet = JobFleet(names='a', length=80)
    fleet.nodes['a'].samplers.length = 80
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(3.8)
    again = _lose_everything(fleet)
    fleet.clock.advance(0.4)
    resumed = [after for _, _, after in again.samplers.started]
    assert len(resumed) == 6
    assert min(resumed) > 15
    fleet.clock.advance(8)
    check_complete(fleet, 'a', 6)


def test_a_job_whose_checkpoint_is_unreadable_is_taken_over() -> None:
    """Another writer has put bytes there that are no texts."""
    fleet = JobFleet(names='a', length=80)
    node = fleet.nodes['a']
    node.samplers.length = 80
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(3.8)
    store = node.job_store.object_store
    path = texts_path(JobId('job-1'))
    task = node.clock.spawn(store.put, path, b'[1, 2', None)
    fleet.clock.run_until(task.ready, 1)
    _lose_everything(fleet)
    fleet.clock.advance(12)
    check_complete(fleet, 'a', 6)


class _Bench:
    """One job and the checkpoints of its owner."""

    def __init__(self) -> None:
        self.fleet = JobFleet(names='a')
        self.clock = self.fleet.nodes['a'].clock
        self.store = MemoryStore(self.fleet.clock)
        self.checkpoints = TextCheckpoints(self.store, self.clock)
        job = make_job()
        log = ResultLog(self.store, self.clock, job.id, 'test')
        self.work = JobWork(job, log, 0, 0)
        for progress in self.work.items.values():
            progress.started_at = self.clock.now()

    def grow(self, events: int, size: int = 10) -> None:
        """Add events to each text."""
        for progress in self.work.items.values():
            for _ in range(events):
                number = progress.text.last_number + 1
                event = TextEvent(number, 'x' * size, WeightVersion(1))
                progress.text.add(event)

    def save(self) -> int:
        """Write the checkpoint; return its revision, 0 without one."""
        path = texts_path(self.work.job.id)
        task = self.clock.spawn(self._save)
        self.fleet.clock.run_until(task.ready, 5)
        stored = self.store.state.get_readable().get(path)
        return 0 if stored is None else stored.version

    def _save(self) -> None:
        self.checkpoints.save([self.work])


def test_short_and_unchanged_texts_cost_no_call() -> None:
    """Each write to the store has a cost."""
    bench = _Bench()
    bench.grow(5)
    assert bench.save() == 0
    bench.fleet.clock.advance(2)
    first = bench.save()
    assert first
    assert bench.save() == first
    bench.grow(1)
    assert bench.save() > first


def test_a_checkpoint_fits_into_one_object() -> None:
    """The store refuses larger objects, and none of the texts was saved."""
    bench = _Bench()
    bench.grow(1, size=MAX_CHARACTERS // 4)
    bench.fleet.clock.advance(2)
    assert bench.save()
    restored = JobWork(bench.work.job, bench.work.log, 0, 0)
    task = bench.clock.spawn(
        bench.checkpoints.load, restored.job.id, restored.log, 6
    )
    bench.fleet.clock.run_until(task.ready, 5)
    bench.checkpoints.restore(restored)
    lengths = [each.text.last_number for each in restored.items.values()]
    assert sum(lengths) == 4
