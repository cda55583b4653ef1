"""Snapshots of texts on the local disk: restarts and failing disks."""

import pathlib
from collections.abc import Callable

import msgspec
import pytest

from guavagate.clock import PausedClock
from guavagate.events import jobs as events
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._work import JobWork, Text
from guavagate.jobs.texts._checkpoints import CHECKPOINT_INTERVAL_SECONDS
from guavagate.jobs.texts._snapshots import TextSnapshots
from guavagate.measure.fakes import MemoryStore
from guavagate.models import WeightVersion
from tests.jobs.fleet import JobFleet, Node, check_complete, make_job
from tests.jobs.samplers import SERVICE


def _run(work: Callable[[], None]) -> None:
    work()


def _make_work(name: str = 'job-1', **fields: object) -> JobWork:
    job = make_job(name, **fields)  # type: ignore[arg-type]
    clock = PausedClock()
    log = ResultLog(MemoryStore(clock), clock, job.id, 'test')
    return JobWork(job, log, 100, 0)


def _grow(work: JobWork, events: int, version: int = 1) -> None:
    for progress in work.items.values():
        lines = [f'{progress.item.id}/{n}' for n in range(1, events + 1)]
        progress.text = Text(lines, [WeightVersion(version)], events)


def _restart(path: pathlib.Path, work: JobWork) -> list[int]:
    """Return the events of each text that a new process restores."""
    snapshots = TextSnapshots(str(path), _run)
    snapshots.load(SERVICE)
    snapshots.restore(work)
    return [progress.text.last_number for progress in work.items.values()]


def test_texts_resume_after_a_restart_of_all(tmp_path: pathlib.Path) -> None:
    """Every process is killed while long texts are generated.

    No other instance is left with a replica. The former owner continues, as it
    held the lease, and each text resumes after its last saved event.
    """
    fleet = JobFleet(names='a', length=60, folders={'a': str(tmp_path)})
    node = fleet.nodes['a']
    node.samplers.length = 60
    fleet.submit(make_job(), 'a')
    # The store has no checkpoint of the texts yet.
    fleet.clock.advance(CHECKPOINT_INTERVAL_SECONDS - 0.1)
    node.owner.stop()
    fleet.nodes['a'] = Node(fleet, 'a')
    again = fleet.nodes['a']
    again.samplers.length = 60
    again.owner.start()
    fleet.clock.advance(0.2)
    resumed = [after for _, _, after in again.samplers.started]
    assert len(resumed) == 6
    assert min(resumed) > 15
    fleet.clock.advance(5)
    check_complete(fleet, 'a', 6)


def test_committed_items_are_not_saved(tmp_path: pathlib.Path) -> None:
    """A committed result is durable in the store; its text is not needed."""
    work = _make_work()
    _grow(work, 5)
    first = next(iter(work.items))
    work.log.committed.add(first)
    TextSnapshots(str(tmp_path), _run).save(SERVICE, [work])
    assert _restart(tmp_path, _make_work()) == [0, 5, 5, 5, 5, 5]


def test_text_of_too_old_a_version_is_not_restored(
    tmp_path: pathlib.Path,
) -> None:
    """The file is old, and the step accepts newer weights only."""
    work = _make_work()
    _grow(work, 5)
    TextSnapshots(str(tmp_path), _run).save(SERVICE, [work])
    newer = _make_work(min_version=WeightVersion(2))
    assert set(_restart(tmp_path, newer)) == {0}


@pytest.mark.parametrize('keep', [0, 1, 7, 40])
def test_torn_file_is_ignored(tmp_path: pathlib.Path, keep: int) -> None:
    """A power loss during a write tears the file despite the atomic replace."""
    work = _make_work()
    _grow(work, 5)
    TextSnapshots(str(tmp_path), _run).save(SERVICE, [work])
    file = next(tmp_path.iterdir())
    file.write_bytes(file.read_bytes()[:keep])
    assert set(_restart(tmp_path, _make_work())) == {0}


def test_missing_directory_loses_only_texts(
    tmp_path: pathlib.Path,
) -> None:
    """The data directory is gone; saving and loading do not fail."""
    gone = tmp_path / 'gone'
    snapshots = TextSnapshots(str(gone), _run)
    work = _make_work()
    _grow(work, 5)
    snapshots.save(SERVICE, [work])
    assert set(_restart(gone, _make_work())) == {0}
    gone.mkdir()
    snapshots.save(SERVICE, [work])
    assert set(_restart(gone, _make_work())) == {5}


def test_failing_disk_is_logged_once(
    tmp_path: pathlib.Path, caplog: pytest.LogCaptureFixture
) -> None:
    """A disk that is full for minutes is logged once, not twice a second."""
    snapshots = TextSnapshots(str(tmp_path / 'gone'), _run)
    work = _make_work()
    _grow(work, 1)
    for _ in range(5):
        snapshots.save(SERVICE, [work])
    logged = [
        each
        for each in caplog.records
        if events.SNAPSHOT_FAILED.text in each.getMessage()
    ]
    assert len(logged) == 1


def test_stalled_disk_blocks_nothing(tmp_path: pathlib.Path) -> None:
    """A write hangs for seconds; later ones are skipped, not queued."""
    hung: list[Callable[[], None]] = []
    snapshots = TextSnapshots(str(tmp_path), hung.append)
    work = _make_work()
    _grow(work, 1)
    snapshots.save(SERVICE, [work])
    _grow(work, 2)
    snapshots.save(SERVICE, [work])
    assert len(hung) == 1
    hung.pop()()
    _grow(work, 3)
    snapshots.save(SERVICE, [work])
    hung.pop()()
    assert set(_restart(tmp_path, _make_work())) == {3}


def test_nothing_is_saved_without_a_data_directory() -> None:
    """Most instances have no data directory."""
    snapshots = TextSnapshots('', _run)
    work = _make_work()
    _grow(work, 1)
    snapshots.save(SERVICE, [work])
    snapshots.load(SERVICE)
    fresh = _make_work()
    snapshots.restore(fresh)
    assert {each.text.last_number for each in fresh.items.values()} == {0}


def test_file_of_another_format_is_ignored(tmp_path: pathlib.Path) -> None:
    """Another release wrote the file."""
    work = _make_work()
    _grow(work, 5)
    TextSnapshots(str(tmp_path), _run).save(SERVICE, [work])
    file = next(tmp_path.iterdir())
    file.write_bytes(msgspec.msgpack.encode({'texts': []}))
    assert set(_restart(tmp_path, _make_work())) == {0}
