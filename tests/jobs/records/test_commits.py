"""Commits that wait for the store, and those that must not wait for others."""

import random

from guavagate.clock import Clock, PausedClock
from guavagate.integrations.object_api import make_shared_client
from guavagate.integrations.object_api.models import Answer, Call
from guavagate.jobs import ItemId, JobId, Result, ResultState
from guavagate.jobs._work import JobWork
from guavagate.jobs.records._committer import Committer
from guavagate.jobs.records._store import JobStore
from guavagate.measure.fakes import MemoryStore, StoreState
from guavagate.models import WeightVersion
from guavagate.platform._store import PlatformStore
from tests.jobs.fleet import make_job


class _Bench:
    """The commits of one job, and how long each urgent one took."""

    def __init__(
        self, clock: Clock, store: JobStore, groups: int = 3, size: int = 2
    ) -> None:
        self.clock = clock
        job = make_job('job-1', groups, size, target_groups=groups - 1)
        log = store.open_log(JobId(f'job-{id(self)}'))
        self.work = JobWork(job, log, 0, 0)
        self.urgent: dict[ItemId, float] = {}
        self.delays: list[float] = []
        self.committer = Committer(
            clock, self.work, self._record, store.has_spare_writes
        )

    def _record(self) -> None:
        for item in self.work.log.committed & self.urgent.keys():
            self.delays.append(self.clock.now() - self.urgent.pop(item))

    def finish(self, *items: str) -> None:
        """Finish items."""
        for item in map(ItemId, items):
            result = Result(
                item, ResultState.COMPLETED, 'x', [WeightVersion(1)]
            )
            urgent = self.work.add_result(result)
            if urgent:
                self.urgent[item] = self.clock.now()
            self.committer.commit_pending(urgent=urgent)

    def run(self, start: float, rng: random.Random) -> None:
        """Finish all items in a random order, one each 75 ms on average."""
        self.clock.sleep(start)
        for item in rng.sample(list(self.work.items), len(self.work.items)):
            self.clock.sleep(rng.uniform(0, 0.15))
            self.finish(item)


def test_urgent_commit_that_failed_is_retried_at_once() -> None:
    """The store is away when the last result for which a trainer waits ends.

    The retry must not wait for more results once the store is back.
    """
    clock = PausedClock()
    state = StoreState(rng=random.Random(1), sleep=clock.sleep)
    bench = _Bench(clock, JobStore(MemoryStore(clock, state), clock, 'w'))
    state.outage = True
    bench.finish('0-0', '0-1', '1-0', '1-1')
    clock.advance(3.05)
    state.outage = False
    clock.advance(0.2)
    assert bench.delays


def test_batch_waits_while_the_rate_of_writes_is_needed_for_others() -> None:
    """An urgent commit does not, and takes the batch of its job along.

    In a write of its own it would follow the batch, whose chunk number is
    lower.
    """
    clock = PausedClock()
    store = MemoryStore(clock)
    bench = _Bench(clock, JobStore(store, clock, 'w', bool))
    bench.finish('2-0')
    clock.advance(1)
    assert not store.state.calls['put']
    bench.finish('0-0', '0-1', '1-0', '1-1')
    clock.advance(0.02)
    assert len(bench.work.log.committed) == 5
    assert store.state.calls['put'] == 1
    bench.finish('2-1')
    clock.advance(5)
    assert len(bench.work.log.committed) == 6


def test_batches_leave_the_rate_of_writes_to_urgent_commits() -> None:
    """Three trainers submit 88 items each 4 s, in a fleet of 75 instances.

    These share 400 writes a second alike. The owner's batches of six jobs need
    eleven of its four. The commits for which trainers wait queued with them,
    for more than two seconds.
    """
    clock = PausedClock()

    def answer(_: Call) -> Answer:
        clock.sleep(0.005)
        written = b'{"metadata":{"name":"n","revision":1}}'
        return Answer(status=200, body=written)

    client = make_shared_client(
        answer, clock, lambda: 75, reads=2000, writes=400
    )
    store = JobStore(PlatformStore(client), clock, 'w', client.has_spare_writes)
    rng = random.Random(1)
    benches = [_Bench(clock, store, 11, 8) for _ in range(15)]
    for number, bench in enumerate(benches):
        start = number // 3 * 4 + number % 3 * 1.3
        clock.spawn(bench.run, start, rng)
    clock.advance(40)
    delays = [delay for bench in benches for delay in bench.delays]
    assert len(delays) >= len(benches)
    assert max(delays) < 0.1
