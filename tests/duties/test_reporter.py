"""Usage reports while reporters are killed, paused or lose responses."""

import functools

import pytest

from guavagate.duties import (
    ClusterClock,
    UsageCounter,
    UsagePublisher,
    UsageReporter,
)
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, TeamId
from guavagate.ports.duties import (
    DutyAnswer,
    LeaseHolder,
    ScaleOrder,
    TeamCounts,
)
from guavagate.rollouts import Lease, Renewals
from tests.helpers.odd_bodies import DEEP_OBJECT

_BLUE = TeamId('blue')
_WINDOW_SECONDS = 5.0
_LEASE_SECONDS = 3.0


class _Platform:
    """Accepts reports and records their time, holder and content."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.reports: list[tuple[float, LeaseHolder, int, TeamCounts]] = []
        self.answers: list[DutyAnswer] = []

    def report_usage(
        self, holder: LeaseHolder, window: int, counts: TeamCounts
    ) -> DutyAnswer:
        """Record a report and return the next configured answer."""
        now = self._world.clock.now()
        self.reports.append((now, holder, window, dict(counts)))
        return self.answers.pop(0) if self.answers else DutyAnswer.ACCEPTED

    def order(self, holder: LeaseHolder, order: ScaleOrder) -> DutyAnswer:
        """Accept no orders."""
        raise NotImplementedError

    def list_contents(self, window: int) -> list[TeamCounts]:
        """Return the reported contents of a window."""
        return [
            counts for _, _, number, counts in self.reports if number == window
        ]

    def check(self) -> None:
        """Check that windows have one content and holders do not alternate."""
        for window in {each[2] for each in self.reports}:
            contents = self.list_contents(window)
            assert all(each == contents[0] for each in contents), window
        generations = [each[1].generation for each in self.reports]
        assert generations == sorted(generations)
        last: dict[InstanceId, float] = {}
        for at, holder, _, _ in self.reports:
            others = [
                when for who, when in last.items() if who != holder.instance
            ]
            assert all(at - when >= _LEASE_SECONDS for when in others)
            last[holder.instance] = at


class _Fleet:
    """Instances of which the first one alive, by name, reports."""

    def __init__(self, names: str = 'abc') -> None:
        self.world = World()
        self.clock = self.world.clock
        self.platform = _Platform(self.world)
        self.publishers: dict[str, UsagePublisher] = {}
        for name in names:
            self.world.add(name)
        self.clock.advance(1)
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance's publisher and reporter."""
        me = InstanceId(name)
        host = self.world.hosts[me]
        rank = functools.partial(self._rank, me)
        cluster_clock = ClusterClock(host.clock.wall, self.clock.now)
        lease = Lease(
            self.world.store_of(name),
            'duty-leases/usage',
            me,
            _LEASE_SECONDS,
            Renewals(self.world.bus(name), self.clock.now),
            lambda: [each for each in rank() if each != me],
            self.clock.now,
        )
        publisher = UsagePublisher(
            me,
            host.clock,
            self.world.bus(name),
            UsageCounter(_WINDOW_SECONDS),
            cluster_clock,
            rank,
        )
        self.publishers[name] = publisher
        UsageReporter(
            me,
            host.clock,
            self.world.bus(name),
            self.world.store_of(name),
            lease,
            self.platform,
            cluster_clock,
            _WINDOW_SECONDS,
            lambda: rank()[0] == me,
        ).start()
        publisher.start()

    def _rank(self, me: InstanceId) -> list[InstanceId]:
        return [each.id for each in self.world.members[me].alive()]

    def count_requests(self, *names: str) -> None:
        """Count a request of a team at each of these instances."""
        for name in names:
            self.publishers[name].record(_BLUE, 0)

    def current_window(self) -> int:
        """Return the number of the current window."""
        return int(self.clock.wall() // _WINDOW_SECONDS)


@pytest.fixture
def fleet() -> _Fleet:
    """Return three instances at the start of a window."""
    instances = _Fleet()
    rest = _WINDOW_SECONDS - instances.clock.wall() % _WINDOW_SECONDS
    instances.clock.advance(rest + _WINDOW_SECONDS + 0.01)
    return instances


def test_each_window_is_reported_once_with_the_counts_of_all(
    fleet: _Fleet,
) -> None:
    """Without failures, even a window without requests is reported."""
    window = fleet.current_window()
    fleet.count_requests('a', 'b', 'b', 'c')
    fleet.clock.advance(_WINDOW_SECONDS + 4)
    assert fleet.platform.list_contents(window) == [{_BLUE: 4}]
    fleet.clock.advance(_WINDOW_SECONDS)
    assert fleet.platform.list_contents(window + 1) == [{}]
    fleet.platform.check()


def test_the_counts_of_a_killed_entry_are_reported(fleet: _Fleet) -> None:
    """The entry is killed half a second after its request."""
    window = fleet.current_window()
    fleet.count_requests('c')
    fleet.clock.advance(0.5)
    fleet.world.kill('c')
    fleet.clock.advance(_WINDOW_SECONDS + 4)
    assert fleet.platform.list_contents(window) == [{_BLUE: 1}]


def test_the_successor_of_a_killed_reporter_has_all_counts(
    fleet: _Fleet,
) -> None:
    """All entries send their counts to the successor as well."""
    window = fleet.current_window()
    fleet.count_requests('a', 'b', 'c')
    fleet.clock.advance(3)
    fleet.world.kill('a')
    fleet.clock.advance(_WINDOW_SECONDS + 9)
    assert fleet.platform.list_contents(window)[0] == {_BLUE: 3}
    fleet.platform.check()


def test_a_paused_reporter_resumes_beside_its_successor(
    fleet: _Fleet,
) -> None:
    """It resumes with its own counts for windows that were reported."""
    window = fleet.current_window()
    fleet.count_requests('a', 'b', 'c')
    fleet.clock.advance(3)
    fleet.world.pause('a')
    for _ in range(6):
        fleet.count_requests('b', 'c')
        fleet.clock.advance(2)
    fleet.world.resume('a')
    fleet.count_requests('a')
    fleet.clock.advance(20)
    reported = {each[2] for each in fleet.platform.reports}
    assert set(range(window, window + 5)) <= reported
    fleet.platform.check()


def test_a_report_without_a_response_is_repeated_unchanged(
    fleet: _Fleet,
) -> None:
    """The platform may have accepted it; other content would contradict it."""
    window = fleet.current_window()
    fleet.count_requests('a', 'b')
    fleet.clock.advance(4)
    fleet.platform.answers = [DutyAnswer.UNKNOWN] * 4
    fleet.clock.advance(_WINDOW_SECONDS)
    assert len(fleet.platform.list_contents(window)) > 1
    fleet.count_requests('b')
    fleet.clock.advance(10)
    fleet.platform.check()


def test_a_window_has_one_content_while_the_store_loses_responses(
    fleet: _Fleet,
) -> None:
    """The write of a window's content may take effect seconds later."""
    fleet.world.store.lose_answers = 0.5
    window = fleet.current_window()
    for _ in range(12):
        fleet.count_requests('a', 'b', 'c')
        fleet.clock.advance(1.3)
    fleet.world.store.lose_answers = 0
    fleet.clock.advance(12)
    assert fleet.platform.list_contents(window)
    fleet.platform.check()


def test_windows_are_reported_in_time_after_a_store_outage(
    fleet: _Fleet,
) -> None:
    """The store is down for six seconds from the end of a window."""
    window = fleet.current_window()
    fleet.count_requests('a', 'b')
    fleet.clock.advance(_WINDOW_SECONDS)
    fleet.world.store.outage = True
    fleet.clock.advance(6)
    fleet.world.store.outage = False
    fleet.clock.advance(4)
    assert fleet.platform.list_contents(window) == [{_BLUE: 2}]


def test_a_window_with_lost_counts_is_not_reported(fleet: _Fleet) -> None:
    """All instances have restarted and lost their counts."""
    window = fleet.current_window()
    fleet.count_requests('a', 'b')
    fleet.clock.advance(3)
    for name in 'abc':
        fleet.world.kill(name)
    fleet.clock.advance(_WINDOW_SECONDS)
    for name in 'abc':
        fleet.world.add(name)
    fleet.clock.advance(1)
    for name in 'abc':
        fleet.start(name)
    fleet.clock.advance(15)
    assert not fleet.platform.list_contents(window)
    assert fleet.platform.list_contents(window + 2)


@pytest.mark.parametrize('odd', [b'[]', DEEP_OBJECT], ids=['list', 'deep'])
def test_a_window_whose_record_can_not_be_read_ends_no_reporter(
    fleet: _Fleet, odd: bytes
) -> None:
    """No window was reported any more, by this reporter or its successor.

    What was reported for that window is unknown, so nothing else may be.
    """
    window = fleet.current_window()
    fleet.world.store.change(f'usage-windows/{window}', odd)
    fleet.count_requests('a')
    fleet.clock.advance(_WINDOW_SECONDS)
    fleet.count_requests('b')
    fleet.clock.advance(_WINDOW_SECONDS + 4)
    assert not fleet.platform.list_contents(window)
    assert fleet.platform.list_contents(window + 1) == [{_BLUE: 1}]


def test_a_successor_sends_nothing_within_the_lease_time(
    fleet: _Fleet,
) -> None:
    """The reporter is lost just after it has sent a report.

    Its successor immediately finds windows to send again, but does not know
    which reports of its predecessor are still in transit.
    """
    fleet.count_requests('b')
    fleet.clock.advance(2.4)
    assert fleet.platform.reports
    last = fleet.platform.reports[-1][0]
    assert fleet.clock.now() - last < 0.5
    fleet.world.kill('a')
    fleet.clock.advance(15)
    fleet.platform.check()
    assert fleet.platform.reports[-1][1].instance == InstanceId('b')
