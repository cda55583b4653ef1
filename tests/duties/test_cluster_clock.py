"""The cluster clock while some machines' clocks jump."""

import pytest

from guavagate.duties import ClusterClock
from guavagate.models import InstanceId


class _Clocks:
    """The wall and boot clocks of one machine."""

    def __init__(self) -> None:
        self.boot = 100.0
        self.error = float(0)

    def read_wall(self) -> float:
        """Return the wall clock time of this machine."""
        return self.read_true() + self.error

    def read_true(self) -> float:
        """Return the correct time."""
        return 1_700_000_000 + self.boot


def _make() -> tuple[_Clocks, ClusterClock]:
    clocks = _Clocks()
    return clocks, ClusterClock(clocks.read_wall, lambda: clocks.boot)


def test_the_time_stays_correct_when_a_third_of_the_clocks_jump() -> None:
    """The machine that reports usage is among them.

    By its own clock, which is off by 2.4 s, half of a window's requests would
    be counted in the adjacent window.
    """
    clocks, cluster_clock = _make()
    for number in range(30):
        error = -2.4 if number < 10 else 0.01 * (number % 3)
        name = InstanceId(f'i{number}')
        cluster_clock.record(name, clocks.read_true() + error)
    clocks.error = -2.4
    assert cluster_clock.now() == pytest.approx(clocks.read_true(), abs=0.03)


def test_the_boot_clock_advances_the_time_between_messages() -> None:
    """A jump after the last messages changes nothing."""
    clocks, cluster_clock = _make()
    for number in range(3):
        cluster_clock.record(InstanceId(f'i{number}'), clocks.read_true())
    clocks.boot += 50
    clocks.error = 2.4
    assert cluster_clock.now() == pytest.approx(clocks.read_true())


def test_an_instance_that_counts_follows_the_reporter() -> None:
    """Its own clock is off; only the reporter uses the clocks it knows."""
    clocks, cluster_clock = _make()
    clocks.error = 2.4
    cluster_clock.follow(clocks.read_true())
    clocks.boot += 10
    assert cluster_clock.now() == pytest.approx(clocks.read_true())
    cluster_clock.stop_following()
    assert cluster_clock.now() == pytest.approx(clocks.read_wall())


def test_clocks_of_lost_instances_are_ignored() -> None:
    """Five other clocks are 9 s ahead, and four of their instances are lost.

    The time is then the median of the one that is left and the own clock.
    """
    clocks, cluster_clock = _make()
    for number in range(5):
        cluster_clock.record(InstanceId(f'i{number}'), clocks.read_true() + 9)
    cluster_clock.retain({InstanceId('i0')})
    assert cluster_clock.now() == pytest.approx(clocks.read_true() + 4.5)
