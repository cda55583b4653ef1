"""Usage reports while reporters are killed, paused and lose answers."""

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
from guavagate.ports.duties import Counts, DutyAnswer, Holder, ScaleOrder
from guavagate.rollouts import Lease, Renewals

_BLUE = TeamId('blue')
_LENGTH = 5.0
_LEASE_SECONDS = 3.0


class _Platform:
    """Takes reports; keeps what came from whom and when."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.seen: list[tuple[float, Holder, int, Counts]] = []
        self.answers: list[DutyAnswer] = []

    def report_usage(
        self, holder: Holder, window: int, counts: Counts
    ) -> DutyAnswer:
        """Keep a report, and answer what the test wants."""
        now = self._world.clock.now()
        self.seen.append((now, holder, window, dict(counts)))
        return self.answers.pop(0) if self.answers else DutyAnswer.TAKEN

    def order(self, holder: Holder, order: ScaleOrder) -> DutyAnswer:
        """Take no orders."""
        raise NotImplementedError

    def contents(self, window: int) -> list[Counts]:
        """Return what came for a window."""
        return [counts for _, _, seen, counts in self.seen if seen == window]

    def check(self) -> None:
        """Check that windows have one content and holders take no turns."""
        for window in {each[2] for each in self.seen}:
            contents = self.contents(window)
            assert all(each == contents[0] for each in contents), window
        generations = [each[1].generation for each in self.seen]
        assert generations == sorted(generations)
        last: dict[InstanceId, float] = {}
        for at, holder, _, _ in self.seen:
            others = [
                when for who, when in last.items() if who != holder.instance
            ]
            assert all(at - when >= _LEASE_SECONDS for when in others)
            last[holder.instance] = at


class _Fleet:
    """Instances that may report, the first alive in the order of names."""

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
        """Start an instance's part."""
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
            UsageCounter(_LENGTH),
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
            _LENGTH,
            lambda: rank()[0] == me,
        ).start()
        publisher.start()

    def _rank(self, me: InstanceId) -> list[InstanceId]:
        return [each.id for each in self.world.members[me].alive()]

    def ask(self, *names: str) -> None:
        """Have a request of a team begin at each of these instances."""
        for name in names:
            self.publishers[name].record(_BLUE, 0)

    def window(self) -> int:
        """Return the window of now."""
        return int(self.clock.wall() // _LENGTH)


@pytest.fixture
def fleet() -> _Fleet:
    """Return three instances at the start of a window."""
    held = _Fleet()
    rest = _LENGTH - held.clock.wall() % _LENGTH
    held.clock.advance(rest + _LENGTH + 0.01)
    return held


def test_each_window_is_reported_once_with_what_all_counted(
    fleet: _Fleet,
) -> None:
    """Nothing goes wrong; a window without requests is reported, too."""
    window = fleet.window()
    fleet.ask('a', 'b', 'b', 'c')
    fleet.clock.advance(_LENGTH + 4)
    assert fleet.platform.contents(window) == [{_BLUE: 4}]
    fleet.clock.advance(_LENGTH)
    assert fleet.platform.contents(window + 1) == [{}]
    fleet.platform.check()


def test_an_entry_is_killed_and_what_it_told_counts(fleet: _Fleet) -> None:
    """A moment after its request it is gone for good."""
    window = fleet.window()
    fleet.ask('c')
    fleet.clock.advance(0.5)
    fleet.world.kill('c')
    fleet.clock.advance(_LENGTH + 4)
    assert fleet.platform.contents(window) == [{_BLUE: 1}]


def test_the_reporter_is_killed_and_its_successor_knows_all(
    fleet: _Fleet,
) -> None:
    """It was told as well, by all that counted, while the other lived."""
    window = fleet.window()
    fleet.ask('a', 'b', 'c')
    fleet.clock.advance(3)
    fleet.world.kill('a')
    fleet.clock.advance(_LENGTH + 9)
    assert fleet.platform.contents(window)[0] == {_BLUE: 3}
    fleet.platform.check()


def test_the_reporter_is_paused_and_wakes_beside_its_successor(
    fleet: _Fleet,
) -> None:
    """It wakes with counts of its own for windows that were reported."""
    window = fleet.window()
    fleet.ask('a', 'b', 'c')
    fleet.clock.advance(3)
    fleet.world.pause('a')
    for _ in range(6):
        fleet.ask('b', 'c')
        fleet.clock.advance(2)
    fleet.world.resume('a')
    fleet.ask('a')
    fleet.clock.advance(20)
    reported = {each[2] for each in fleet.platform.seen}
    assert set(range(window, window + 5)) <= reported
    fleet.platform.check()


def test_a_report_without_an_answer_is_sent_again_unchanged(
    fleet: _Fleet,
) -> None:
    """It may have been taken; another content would contradict it."""
    window = fleet.window()
    fleet.ask('a', 'b')
    fleet.clock.advance(4)
    fleet.platform.answers = [DutyAnswer.UNKNOWN] * 4
    fleet.clock.advance(_LENGTH)
    assert len(fleet.platform.contents(window)) > 1
    fleet.ask('b')
    fleet.clock.advance(10)
    fleet.platform.check()


def test_the_store_loses_answers_and_a_window_has_one_content(
    fleet: _Fleet,
) -> None:
    """The write of a window's content may be made seconds later."""
    fleet.world.store.lose_answers = 0.5
    window = fleet.window()
    for _ in range(12):
        fleet.ask('a', 'b', 'c')
        fleet.clock.advance(1.3)
    fleet.world.store.lose_answers = 0
    fleet.clock.advance(12)
    assert fleet.platform.contents(window)
    fleet.platform.check()


def test_the_store_is_away_and_the_windows_come_in_time(
    fleet: _Fleet,
) -> None:
    """It is away for six seconds, from the end of a window on."""
    window = fleet.window()
    fleet.ask('a', 'b')
    fleet.clock.advance(_LENGTH)
    fleet.world.store.outage = True
    fleet.clock.advance(6)
    fleet.world.store.outage = False
    fleet.clock.advance(4)
    assert fleet.platform.contents(window) == [{_BLUE: 2}]


def test_a_window_that_nobody_counted_is_not_made_up(fleet: _Fleet) -> None:
    """All instances have started again and know nothing of it."""
    window = fleet.window()
    fleet.ask('a', 'b')
    fleet.clock.advance(3)
    for name in 'abc':
        fleet.world.kill(name)
    fleet.clock.advance(_LENGTH)
    for name in 'abc':
        fleet.world.add(name)
    fleet.clock.advance(1)
    for name in 'abc':
        fleet.start(name)
    fleet.clock.advance(15)
    assert not fleet.platform.contents(window)
    assert fleet.platform.contents(window + 2)


def test_a_successor_sends_nothing_within_the_lease_time(
    fleet: _Fleet,
) -> None:
    """The reporter is lost a moment after it has sent a report.

    Its successor finds at once what to send again, and knows nothing of what
    the former one may still have on its way.
    """
    fleet.ask('b')
    fleet.clock.advance(2.4)
    assert fleet.platform.seen
    last = fleet.platform.seen[-1][0]
    assert fleet.clock.now() - last < 0.5
    fleet.world.kill('a')
    fleet.clock.advance(15)
    fleet.platform.check()
    assert fleet.platform.seen[-1][1].instance == InstanceId('b')
