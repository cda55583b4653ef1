"""A data folder that is full, read-only, slow, half-written or lost."""

import shutil
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from guavagate.bulk import BulkFolder
from guavagate.clock import PausedClock


class Disk:
    """Runs a folder's calls at once, or fails or delays them."""

    def __init__(self, folder: Path, limit: int = 10_000) -> None:
        self.clock = PausedClock()
        self.error: OSError | None = None
        self.seconds = 0
        self.calls = 0
        self.path = folder
        self.bulk = BulkFolder(folder, limit, self.clock, self.run)
        self.bulk.open()

    def run(self, call: Callable[[], Any]) -> Any:
        """Carry out one call."""
        self.calls += 1
        if self.seconds:
            self.clock.sleep(self.seconds)
        if self.error is not None:
            raise self.error
        return call()

    def put(self, key: str, payload: bytes) -> None:
        """Keep a payload and wait for the disk."""
        self.bulk.put(key, payload)
        self.clock.advance(self.seconds + 1)

    def get(self, key: str) -> bytes | None:
        """Read a payload in virtual time."""
        task = self.clock.spawn(self.bulk.get, key)
        self.clock.run_until(task.ready)
        found: bytes | None = task.get(block=False)
        return found

    def files(self) -> list[Path]:
        """Return the files in the folder."""
        return sorted(self.path.iterdir())


@pytest.fixture(name='disk')
def make_disk(tmp_path: Path) -> Disk:
    """Return a working disk."""
    return Disk(tmp_path / 'data')


def test_what_was_kept_is_found_after_a_restart(disk: Disk) -> None:
    """The payload comes back whole, also in a new process."""
    disk.put('a', b'sample')
    assert disk.get('a') == b'sample'
    again = Disk(disk.path)
    assert again.get('a') == b'sample'
    assert again.get('b') is None


@pytest.mark.parametrize('damage', [b'', b'GGB1', b'x' * 40])
def test_a_damaged_file_is_a_miss(disk: Disk, damage: bytes) -> None:
    """A file that was cut or changed is dropped, never returned.

    The process was killed while the disk wrote, or the disk lies. The length
    and checksum before the payload tell; the sample is made again.
    """
    disk.put('a', b'sample')
    disk.files()[0].write_bytes(damage)
    assert disk.get('a') is None
    assert not disk.files()


def test_a_half_written_file_is_dropped_at_the_start(disk: Disk) -> None:
    """What a killed process left under its other name is removed."""
    (disk.path / 'left.partial').write_bytes(b'half')
    assert not Disk(disk.path).files()


@pytest.mark.parametrize('number', [28, 30, 5])
def test_a_full_or_failing_disk_is_left_alone(disk: Disk, number: int) -> None:
    """Nothing raises; there is one try a minute, and then it works again.

    The disk is full, read-only or broken. Writing on for each sample would
    cost a slow error each time.
    """
    disk.error = OSError(number, 'disk')
    disk.put('a', b'sample')
    before = disk.calls
    disk.put('a', b'sample')
    assert disk.get('a') is None
    assert disk.calls == before
    disk.error = None
    disk.clock.advance(61)
    disk.put('a', b'sample')
    assert disk.get('a') == b'sample'


def test_a_slow_disk_keeps_nobody_waiting(disk: Disk) -> None:
    """A read that takes longer than a second is a miss after that second."""
    disk.put('a', b'sample')
    disk.seconds = 30
    before = disk.clock.now()
    assert disk.get('a') is None
    assert disk.clock.now() - before <= 1.1


def test_the_oldest_gives_way_at_the_limit(tmp_path: Path) -> None:
    """The folder never holds more than its limit; the newest are found."""
    disk = Disk(tmp_path / 'data', limit=500)
    for number in range(10):
        disk.put(str(number), b'x' * 100)
    assert disk.bulk.size <= 500
    assert disk.get('9') is not None
    assert disk.get('0') is None


def test_a_lost_folder_costs_only_the_data(disk: Disk) -> None:
    """The folder vanishes while the instance runs."""
    disk.put('a', b'sample')
    shutil.rmtree(disk.path)
    assert disk.get('a') is None
    disk.put('b', b'sample')
    assert disk.get('b') is None
