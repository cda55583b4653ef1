"""Numbered chunks of a job's results."""

import pytest

from guavagate.clock import PausedClock
from guavagate.helpers.store_writes import MaybeWrittenError
from guavagate.jobs import ItemId, JobId, Result, ResultState
from guavagate.jobs._result_log import MAX_CHUNK_BYTES, ResultLog
from guavagate.measure.fakes import MemoryStore, StoreState
from guavagate.models import Revision
from guavagate.ports.store import StoredObject


def _make_result(name: str, text: str = 't') -> Result:
    return Result(ItemId(name), ResultState.COMPLETED, text, [1])  # type: ignore[list-item]


class _ListingStore(MemoryStore):
    """Records the objects that lists return; may ignore where to start."""

    def __init__(self, clock: PausedClock, state: StoreState) -> None:
        super().__init__(clock, state)
        self.listed: list[str] = []
        self.ignores_after = False

    def list_under(
        self, prefix: str, after: str = ''
    ) -> tuple[list[StoredObject], Revision]:
        """Return and record the objects of a list."""
        start = '' if self.ignores_after else after
        objects, revision = super().list_under(prefix, start)
        self.listed = [each.path for each in objects]
        return objects, revision


class _Logs:
    """Two writers of one job's results."""

    def __init__(self) -> None:
        self.clock = PausedClock()
        self.state = StoreState()
        self.logs = [
            ResultLog(
                MemoryStore(self.clock, self.state),
                self.clock,
                JobId('job-1'),
                name,
            )
            for name in 'ab'
        ]

    def append(self, writer: int, *results: Result) -> list[Result]:
        """Commit results as one writer."""
        task = self.clock.spawn(self.logs[writer].append, list(results))
        self.clock.run_until(task.ready, 10)
        return list(task.get(block=False))


def test_second_writer_adopts_results_of_the_first() -> None:
    """Two owners commit the same item; the first one gets the position."""
    logs = _Logs()
    logs.append(0, _make_result('i', 'first'))
    added = logs.append(1, _make_result('i', 'second'), _make_result('j'))
    assert [each.id for each in added] == ['j']
    texts = [each.text for each in logs.logs[1].results]
    assert texts == ['first', 't']


def test_lost_answer_is_reconciled_under_the_same_number() -> None:
    """The chunk was written but its answer lost; it is not committed again."""
    logs = _Logs()
    logs.state.lose_next = 1
    logs.append(0, _make_result('i'))
    logs.append(0, _make_result('j'))
    assert [each.id for each in logs.logs[0].results] == ['i', 'j']


def test_uncertain_chunk_is_retried_unchanged() -> None:
    """The store does not answer for long, and the write may still take effect.

    The next commit must not use the same number with other content: the late
    write would take the number under which readers read other results.
    """
    logs = _Logs()
    logs.state.outage = True
    with pytest.raises(MaybeWrittenError):
        logs.append(0, _make_result('i'))
    logs.state.outage = False
    logs.append(0, _make_result('i'), _make_result('j'))
    reader = logs.logs[1]
    task = logs.clock.spawn(reader.load)
    logs.clock.run_until(task.ready, 5)
    assert [each.id for each in reader.results] == ['i', 'j']
    assert len(logs.state.objects) == 2


def test_uncertain_chunk_found_by_a_load_is_not_committed_again() -> None:
    """An owner commits a result, loses the store, and loads the log again.

    Its write took effect but all answers were lost, so the chunk is uncertain.
    The load finds it under its number. A retry would commit it under the next
    number, and the trainer would read the item at two positions.
    """
    logs = _Logs()
    log = logs.logs[0]
    logs.state.lose_next = 1
    logs.state.on_write = lambda *_: setattr(logs.state, 'outage', True)
    with pytest.raises(MaybeWrittenError):
        logs.append(0, _make_result('i'))
    logs.state.on_write = None
    logs.state.outage = False
    task = logs.clock.spawn(log.load)
    logs.clock.run_until(task.ready, 5)
    assert [each.id for each in log.results] == ['i']
    logs.append(0, _make_result('i'), _make_result('j'))
    assert [each.id for each in log.results] == ['i', 'j']
    assert len(logs.state.objects) == 2


def test_item_committed_twice_is_read_once() -> None:
    """Two chunks contain one item; every reader keeps the first position.

    Each reader counts positions from the chunks by itself, so all of them must
    skip the same duplicates, whoever wrote them.
    """
    logs = _Logs()
    logs.append(0, _make_result('i', 'first'))
    other = ResultLog(
        MemoryStore(logs.clock, logs.state), logs.clock, JobId('job-1'), 'c'
    )
    other._next_number = 1
    task = logs.clock.spawn(
        other.append, [_make_result('i', 'second'), _make_result('j')]
    )
    logs.clock.run_until(task.ready, 5)
    reader = logs.logs[1]
    task = logs.clock.spawn(reader.load)
    logs.clock.run_until(task.ready, 5)
    read_back = [(each.id, each.text) for each in reader.results]
    assert read_back == [('i', 'first'), ('j', 't')]


@pytest.mark.parametrize('ignores_after', [False, True])
def test_a_second_load_adds_only_new_chunks(*, ignores_after: bool) -> None:
    """An owner that is cut off loads its logs again through a peer.

    Complete logs of all jobs are megabytes, and commits wait behind them on the
    peer's link. A store that returns the known chunks too adds no result twice.
    """
    logs = _Logs()
    store = _ListingStore(logs.clock, logs.state)
    store.ignores_after = ignores_after
    reader = ResultLog(store, logs.clock, JobId('job-1'), 'c')
    for number in range(3):
        logs.append(0, _make_result(f'{number}'))
        task = logs.clock.spawn(reader.load)
        logs.clock.run_until(task.ready, 5)
    assert [each.id for each in reader.results] == ['0', '1', '2']
    assert ignores_after or len(store.listed) == 1


def _commit(logs: _Logs, *results: Result) -> list[int]:
    """Commit results as one writer; return the sizes of the objects."""
    logs.append(0, *results)
    chunks = logs.state.objects.values()
    return [len(each.value) for each in chunks]


def test_gathered_results_are_committed_in_objects_that_fit() -> None:
    """The store was away, and refused their one object ever after.

    None of the job's later results was listed then.
    """
    logs = _Logs()
    results = [_make_result(f'{n}', 'x' * 50_000) for n in range(40)]
    sizes = _commit(logs, *results)
    assert max(sizes) <= MAX_CHUNK_BYTES
    assert logs.logs[0].results == results
    logs.clock.spawn(logs.logs[1].load)
    logs.clock.advance(1)
    assert logs.logs[1].results == results


def test_a_result_larger_than_others_has_an_object_of_its_own() -> None:
    """It must not keep those behind it from being committed."""
    logs = _Logs()
    large = _make_result('large', 'x' * 700_000)
    results = [_make_result('a'), large, _make_result('b')]
    sizes = _commit(logs, *results)
    assert len(sizes) == 3
    assert logs.logs[0].results == results


def test_objects_follow_the_size_that_the_store_allows() -> None:
    """A deployment's store may take smaller objects than usual."""
    logs = _Logs()
    store = MemoryStore(logs.clock, logs.state)
    log = ResultLog(store, logs.clock, JobId('job-1'), 'a', 2_000)
    results = [_make_result(f'{n}', 'x' * 300) for n in range(40)]
    task = logs.clock.spawn(log.append, results)
    logs.clock.run_until(task.ready, 10)
    sizes = [len(each.value) for each in logs.state.objects.values()]
    assert max(sizes) <= 2_000
    assert log.results == results
