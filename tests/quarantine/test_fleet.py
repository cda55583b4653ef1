"""A request that ends upstreams is stopped by all instances, for good."""

import logging

import pytest

from guavagate.events.forwarding import REQUEST_STOPPED, TOO_MANY_CULPRITS
from guavagate.helpers.mirror import Mirror
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, UpstreamId, ZoneId
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine import (
    STOPPED_REQUESTS,
    BrokenRun,
    EndDetector,
    Hubs,
    Quarantine,
)
from guavagate.quarantine._evidence import MAX_STOPS
from guavagate.quarantine._quarantine import SWEEP_INTERVAL_SECONDS
from guavagate.quarantine._records import STOP_SECONDS
from guavagate.routing import UpstreamTable
from tests.quarantine.common import describe, identify
from tests.routing.test_routes import make_upstream

_NAMES = 'abcde'
# A request must be stopped within three seconds of its third end.
_BOUND_SECONDS = 3


class _Fleet:
    """Instances that share upstreams; the first two live ones are the hubs."""

    def __init__(self) -> None:
        self.world = World()
        self.clock = self.world.clock
        self.quarantines: dict[str, Quarantine] = {}
        self._tables: dict[str, UpstreamTable] = {}
        self._ends = 0
        for name in _NAMES:
            self.start(name)
        self.clock.advance(1)

    def start(self, name: str) -> None:
        """Start an instance, or start it again without its memory."""
        host = self.world.add(name)
        members = self.world.members[InstanceId(name)]
        table = UpstreamTable(host.clock, ZoneId('z'))
        quarantine = Quarantine(
            host.clock,
            self.world.store_of(name),
            EndDetector(host.clock, lambda address: True, table.get),
            lambda apply: Hubs(
                host.clock,
                self.world.bus(name),
                InstanceId(name),
                lambda: [each.id for each in members.alive()],
                apply,
            ),
        )
        Mirror(
            self.world.store_of(name),
            host.clock,
            STOPPED_REQUESTS,
            lambda _, stored: quarantine.put(stored),
            quarantine.remove,
        ).start()
        quarantine.start()
        self._tables[name] = table
        self.quarantines[name] = quarantine

    def end_upstream(self, *requests: tuple[str, str]) -> None:
        """End a new upstream under requests, each of an instance."""
        self._ends += 1
        upstream = make_upstream(f'i-{self._ends}')
        for name, target in requests:
            self.break_run(name, upstream, target)
        self.clock.advance(0.5)

    def break_run(self, name: str, upstream: Upstream, target: str) -> None:
        """End an upstream under a request of an instance."""
        self._tables[name].put(upstream)
        run = BrokenRun(
            request=f'{upstream.id}', identity=identify(target), seconds=0.05
        )
        self.quarantines[name].record_break(upstream, run)

    def stop(self, target: str = '/bad') -> None:
        """End three upstreams under a request, each time elsewhere."""
        for name in 'cde':
            self.end_upstream((name, target))

    def list_stopping(self, target: str = '/bad') -> str:
        """Return the instances that have stopped a request."""
        return ''.join(
            name
            for name, quarantine in self.quarantines.items()
            if quarantine.find(describe(target)) is not None
        )

    def list_stored(self) -> list[str]:
        """Return the paths of the records in the store."""
        return [
            path
            for path in self.world.store.objects
            if path.startswith(STOPPED_REQUESTS)
        ]

    def cut_off(self, name: str) -> None:
        """Cut all links of an instance to the others, but not to the store."""
        me = InstanceId(name)
        for other in self.world.hosts:
            self.world.network.blocked |= {(me, other), (other, me)}


def test_ends_seen_by_different_instances_stop_a_request_everywhere() -> None:
    """Each entry has seen one end only, and none would stop the request."""
    fleet = _Fleet()
    for name in 'cd':
        fleet.end_upstream((name, '/bad'))
    assert not fleet.list_stopping()
    fleet.end_upstream(('e', '/bad'))
    assert fleet.list_stopping() == _NAMES
    assert len(fleet.list_stored()) == 1


def test_what_another_instance_ran_beside_is_known_before_judging() -> None:
    """Two entries had a request each at all three upstreams."""
    fleet = _Fleet()
    for _ in range(3):
        fleet.end_upstream(('c', '/bad'), ('d', '/beside'))
    assert not fleet.list_stopping('/bad')
    assert not fleet.list_stopping('/beside')
    fleet.end_upstream(('e', '/bad'))
    assert fleet.list_stopping('/bad') == _NAMES
    assert not fleet.list_stopping('/beside')


def test_an_answer_at_any_instance_clears_a_request() -> None:
    """A popular request meets killed upstreams, and is answered elsewhere."""
    fleet = _Fleet()
    for name in 'cde':
        fleet.end_upstream((name, '/popular'))
        fleet.quarantines['a'].record_answer(describe('/popular'))
        fleet.clock.advance(0.5)
    assert not fleet.list_stopping('/popular')


def test_the_end_of_a_leaving_upstream_is_no_evidence() -> None:
    """Reclaimed samplers cut off the last requests that they run."""
    fleet = _Fleet()
    for number in range(4):
        upstream = make_upstream(f'r-{number}', leaving=True)
        fleet.break_run('c', upstream, '/text')
        fleet.clock.advance(0.5)
    assert not fleet.list_stopping('/text')


def test_a_stopped_request_stays_stopped_after_all_have_restarted() -> None:
    """All processes are killed, and their memory is lost."""
    fleet = _Fleet()
    fleet.stop()
    for name in _NAMES:
        fleet.world.kill(name)
    for name in _NAMES:
        fleet.start(name)
    fleet.clock.advance(1)
    assert fleet.list_stopping() == _NAMES


def test_a_request_is_stopped_while_the_store_is_down() -> None:
    """The record is written once the store is back."""
    fleet = _Fleet()
    fleet.world.store.outage = True
    fleet.stop()
    assert fleet.list_stopping() == _NAMES
    fleet.clock.advance(10)
    assert not fleet.list_stored()
    fleet.world.store.outage = False
    fleet.clock.advance(_BOUND_SECONDS)
    assert len(fleet.list_stored()) == 1


def test_the_loss_of_a_hub_does_not_lose_the_record() -> None:
    """The first hub dies during an outage of the store, before it can write."""
    fleet = _Fleet()
    fleet.world.store.outage = True
    fleet.stop()
    fleet.world.kill('a')
    fleet.clock.advance(5)
    fleet.world.store.outage = False
    fleet.clock.advance(_BOUND_SECONDS)
    assert len(fleet.list_stored()) == 1


def test_one_hub_is_enough() -> None:
    """The first hub is paused, and the others do not know it yet."""
    fleet = _Fleet()
    fleet.world.pause('a')
    fleet.stop()
    assert fleet.list_stopping() == 'bcde'
    fleet.world.resume('a')
    fleet.clock.advance(_BOUND_SECONDS)
    assert fleet.list_stopping() == _NAMES


def test_what_a_paused_hub_passes_on_late_is_no_second_end() -> None:
    """Two upstreams ended, and all have learned of it from the other hub."""
    fleet = _Fleet()
    fleet.world.pause('a')
    for name in 'cd':
        fleet.end_upstream((name, '/bad'))
    fleet.clock.advance(1)
    fleet.world.resume('a')
    fleet.clock.advance(_BOUND_SECONDS)
    assert not fleet.list_stopping()


def test_an_instance_that_reaches_only_the_store_stops_it_too() -> None:
    """Its links to all others are cut when the request is stopped."""
    fleet = _Fleet()
    fleet.cut_off('e')
    for name in 'bcd':
        fleet.end_upstream((name, '/bad'))
    fleet.clock.advance(_BOUND_SECONDS)
    assert fleet.list_stopping() == _NAMES


def test_a_request_whose_record_is_removed_runs_again() -> None:
    """An operator removes the record, and no instance writes it again."""
    fleet = _Fleet()
    fleet.stop()
    path = fleet.list_stored()[0]
    fleet.clock.spawn(fleet.world.store_of('a').delete, path, None)
    fleet.clock.advance(30)
    assert not fleet.list_stopping()
    assert not fleet.list_stored()
    fleet.end_upstream(('c', '/bad'))
    assert not fleet.list_stopping()


def test_a_request_gets_another_chance_when_its_time_is_over() -> None:
    """The record is removed, so that the store does not fill up."""
    fleet = _Fleet()
    fleet.stop()
    fleet.clock.advance(STOP_SECONDS + SWEEP_INTERVAL_SECONDS)
    fleet.clock.advance(1)
    assert not fleet.list_stopping()
    assert not fleet.list_stored()


def test_the_record_names_the_upstreams_and_no_caller() -> None:
    """Operators see what ended; the store holds digests of the rest."""
    fleet = _Fleet()
    fleet.stop()
    record = fleet.quarantines['a'].find(describe('/bad'))
    assert record is not None
    assert record.upstreams == tuple(
        UpstreamId(f'i-{number}') for number in (1, 2, 3)
    )
    stored = fleet.world.store.objects[fleet.list_stored()[0]]
    assert b'/bad' not in stored.value


def test_many_culprits_fill_no_log(caplog: pytest.LogCaptureFixture) -> None:
    """A release crashes under each request, twenty times a second."""
    caplog.set_level(logging.INFO)
    fleet = _Fleet()
    for number in range(3 * MAX_STOPS):
        for _ in range(3):
            fleet.end_upstream(('c', f'/{number}'))
    codes = [getattr(record, 'event', '') for record in caplog.records]
    hubs = 2
    assert codes.count(REQUEST_STOPPED.code) == MAX_STOPS * len(_NAMES)
    assert 0 < codes.count(TOO_MANY_CULPRITS.code) <= hubs
