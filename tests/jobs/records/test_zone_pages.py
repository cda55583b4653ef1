"""Pages of results that come from a cache in the reader's zone."""

import msgspec
import pytest

from guavagate.admission import MemoryBudget
from guavagate.jobs import (
    ItemId,
    JobId,
    LookupStatus,
    Page,
    Result,
    ResultState,
)
from guavagate.jobs._messages import PageReply, ReadPage, ReadResults
from guavagate.jobs.ownership._zones import choose_zone_cache
from guavagate.jobs.records import _pages
from guavagate.jobs.records._expiry import remove_job
from guavagate.jobs.records._pages import PageClient
from guavagate.jobs.records._result_cache import RESULT_HEAD_BYTES, ResultCache
from guavagate.measure.fakes import World
from guavagate.models import InstanceId, RegionId, TeamId, ZoneId
from guavagate.settings import PeerSettings
from tests.jobs.fleet import check_complete, make_job
from tests.jobs.samplers import SERVICE
from tests.jobs.zones import ZoneFleet

_JOB = JobId('job-1')
_BLUE, _RED = 'blue', 'red'


def _make_result(number: int, text: str = 'text') -> Result:
    name = ItemId(f'item-{number}')
    return Result(name, ResultState.COMPLETED, text, [])


def _make_place(
    name: str, zone: str, region: str = 'north', edge: str = 'x:1'
) -> PeerSettings:
    return PeerSettings(
        id=InstanceId(name),
        availability_zone=ZoneId(zone),
        region=RegionId(region),
        peer_address='x:2',
        http_address=edge,
    )


@pytest.fixture(name='fleet')
def make_fleet(monkeypatch: pytest.MonkeyPatch) -> ZoneFleet:
    """Return instances of three zones, with a complete job of a team."""
    return ZoneFleet(monkeypatch, job=make_job(team=TeamId(_BLUE)))


def test_results_cross_to_a_zone_once(fleet: ZoneFleet) -> None:
    """Each read at another entry would carry all results between zones."""
    entries, near = fleet.find_remote()
    fleet.crossed.clear()
    for _ in range(20):
        for entry in (*entries, near):
            for after in (0, 2):
                results = fleet.read_as(_BLUE, entry, after)[1]
                assert len(results) == 6 - after
    size = sum(len(each.text) for each in fleet.read_as(_BLUE, near)[1])
    reads = 20 * 3 * 2
    assert fleet.crossed['ReadPage.reply'] < 1.5 * size + reads * 110
    assert not fleet.crossed['ReadResults.reply']


def test_cached_page_grows_with_the_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A cache that answered alone would hide the results of later items."""
    fleet = ZoneFleet(monkeypatch, length=40)
    fleet.submit(make_job('job-2', groups=12), 'a')
    entries, _ = fleet.find_remote()
    shown: list[Result] = []
    for _ in range(60):
        for entry in entries:
            task = fleet.nodes[entry].clock.spawn(
                fleet.nodes[entry].reader.read, [SERVICE], 'job-2', 0, 0
            )
            fleet.clock.run_until(task.ready, 5)
            page = task.get(block=False)[1]
            assert page.results[: len(shown)] == shown
            shown = page.results
        fleet.clock.advance(0.2)
    assert len(shown) == 24


@pytest.mark.parametrize('at_cache', [False, True])
def test_cached_job_stays_missing_for_another_team(
    fleet: ZoneFleet, *, at_cache: bool
) -> None:
    """Its results are in the cache of the zone for its own team."""
    entries, near = fleet.find_remote()
    name = near if at_cache else entries[0]
    assert len(fleet.read_as(_BLUE, name)[1]) == 6
    assert fleet.read_as(_RED, name) == (LookupStatus.MISSING, [])


def test_removed_job_is_missing_and_its_id_free(fleet: ZoneFleet) -> None:
    """The cache still has the results of the removed job."""
    entries, near = fleet.find_remote()
    for name in (entries[0], near):
        assert len(fleet.read_as(_BLUE, name)[1]) == 6
    owner = fleet.nodes[fleet.owner()]
    stored = fleet.nodes[near].job_store
    task = owner.clock.spawn(stored.read, _JOB)
    fleet.clock.run_until(task.ready, 5)
    removed = owner.clock.spawn(
        remove_job,
        owner.job_store.object_store,
        owner.clock,
        task.get(block=False),
    )
    fleet.clock.run_until(removed.ready, 5)
    owner.owner._active_jobs.drop(_JOB)
    for name in (entries[0], near):
        assert fleet.read_as(_BLUE, name) == (LookupStatus.MISSING, [])
    again = make_job(groups=2, team=TeamId(_BLUE), fingerprint='other')
    fleet.submit(again, near)
    fleet.clock.advance(5)
    for name in (near, entries[0]):
        assert len(fleet.read_as(_BLUE, name)[1]) == 4


@pytest.mark.parametrize('fault', ['lost', 'cut off', 'older release', 'empty'])
def test_page_is_complete_without_the_cache(
    fleet: ZoneFleet, monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    """The cache is lost, cut off from the entry, or lacks the results."""
    entries, near = fleet.find_remote()
    bus = fleet.world.bus(near)
    if fault == 'lost':
        fleet.world.hosts[InstanceId(near)].kill()
    elif fault == 'cut off':
        fleet.cut(entries[0], near)
    elif fault == 'older release':
        bus._handlers.pop('ReadResults')
    else:
        monkeypatch.setattr(
            fleet.nodes[near].reader._pages, '_find_results', lambda _: []
        )
    began_at = fleet.clock.now()
    assert len(fleet.read_as(_BLUE, entries[0])[1]) == 6
    assert fleet.clock.now() - began_at < _pages.CACHE_TIMEOUT_SECONDS + 0.1
    began_at = fleet.clock.now()
    assert len(fleet.read_as(_BLUE, entries[0])[1]) == 6
    assert fleet.clock.now() - began_at < 0.05


def test_zone_cut_off_is_read_on_both_sides(fleet: ZoneFleet) -> None:
    """Callers on either side see all that was shown before the cut."""
    entries, near = fleet.find_remote()
    assert len(fleet.read_as(_BLUE, entries[0])[1]) == 6
    fleet.cut_zone(fleet.zone_of(near))
    for _ in range(8):
        for name in fleet.nodes:
            status, results = fleet.read_as(_BLUE, name)
            assert status is LookupStatus.FOUND
            assert len(results) == 6
        fleet.clock.advance(0.5)
    fleet.world.network.blocked.clear()
    fleet.clock.advance(5)
    for name in fleet.nodes:
        assert len(fleet.read_as(_BLUE, name)[1]) == 6


def test_zone_of_the_owner_is_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    """The caches of the other zones hold what its owner had committed."""
    fleet = ZoneFleet(monkeypatch)
    entries, near = fleet.find_remote()
    assert len(fleet.read('job-1', entries[0])[1]) == 6
    for name in fleet.list_zone(fleet.zone_of(fleet.owner())):
        fleet.world.kill(name)
    for _ in range(10):
        for name in (*entries, near):
            check_complete(fleet, name, 6)
        fleet.clock.advance(0.5)


def test_look_up_before_an_end_carries_no_results(fleet: ZoneFleet) -> None:
    """Repeated ends at other entries carried all results each time."""
    entries, _ = fleet.find_remote()
    fleet.crossed.clear()
    node = fleet.nodes[entries[0]]
    task = node.clock.spawn(node.reader.exists, [SERVICE], _JOB, TeamId(_BLUE))
    fleet.clock.run_until(task.ready, 5)
    assert task.get(block=False) is LookupStatus.FOUND
    assert fleet.crossed['ReadPage.reply'] < 110


class _Owner:
    """An owner that sends fixed replies, and a client with its own cache."""

    def __init__(self, *replies: PageReply) -> None:
        self.asked: list[ReadPage] = []
        self._replies = list(replies)
        world = World()
        world.add('me')
        me, self.name = InstanceId('me'), InstanceId('owner')
        self.cache = ResultCache()
        self.client = PageClient(
            world.clock,
            world.bus(me),
            me,
            self.cache,
            self._reply,
            lambda *_: me,
        )

    def read(self, after: int) -> Page:
        """Return the page that the client makes of the replies."""
        message = ReadPage(service=SERVICE, job=_JOB, after=after, wait=0)
        reply = self.client.request(self.name, message, 1)
        assert reply is not None
        assert reply.page is not None
        return reply.page

    def _reply(self, owner: InstanceId, asked: ReadPage, _: float) -> PageReply:
        self.asked.append(asked)
        return self._replies.pop(0)


def _make_reply(start: int, stop: int, end: int, identity: int) -> PageReply:
    results = [_make_result(number) for number in range(start, stop)]
    page = Page(9, stop, results, identity)
    return PageReply(known=LookupStatus.FOUND, page=page, end=end)


def test_reply_of_an_older_release_is_passed_on() -> None:
    """It sends complete pages without identity, whatever is cached."""
    owner = _Owner(_make_reply(0, 2, 2, 7), _make_reply(0, 3, 0, 0))
    owner.read(0)
    page = owner.read(0)
    assert (page.next, len(page.results)) == (3, 3)


def test_owner_with_fewer_results_hides_none() -> None:
    """An owner that has just taken over has not read all results yet."""
    owner = _Owner(_make_reply(0, 3, 3, 7), _make_reply(1, 1, 1, 7))
    shown = owner.read(0)
    assert owner.read(0) == shown


def test_only_the_gap_between_cached_results_is_sent() -> None:
    """Reads from any position would carry the last results each time."""
    owner = _Owner(
        _make_reply(6, 9, 9, 7),
        _make_reply(0, 2, 2, 7),
        _make_reply(2, 6, 9, 7),
        _make_reply(9, 9, 9, 7),
    )
    owner.read(6)
    owner.read(0)
    page = owner.read(0)
    assert page.results == [_make_result(number) for number in range(9)]
    assert owner.read(0) == page
    assert [(each.known, each.stop) for each in owner.asked] == [
        (6, 0),
        (0, 6),
        (2, 6),
        (9, 0),
    ]


def test_gap_that_the_cache_has_dropped_is_read_again() -> None:
    """The page must not end before results that the owner left out."""
    owner = _Owner(
        _make_reply(6, 9, 9, 7),
        _make_reply(0, 6, 9, 7),
        _make_reply(0, 9, 9, 7),
    )
    owner.read(6)
    owner.cache.limit = 0
    assert owner.read(0).next == 9


def test_results_of_a_removed_job_are_not_sent_for_a_later_one() -> None:
    """An entry read the later job's page, and its zone's cache lags behind.

    An owner that still has the removed job has no results for it either.
    """
    owner = _Owner(
        _make_reply(0, 1, 1, 7),
        _make_reply(0, 2, 2, 8),
        _make_reply(0, 2, 2, 7),
    )
    owner.read(0)
    asked = ReadResults(
        owner=InstanceId('owner'),
        page=ReadPage(service=SERVICE, job=_JOB, after=0, wait=0),
        identity=8,
        end=1,
    )
    assert len(owner.client._find_results(asked)) == 1
    assert owner.asked[-1].identity == 7
    later = msgspec.structs.replace(asked, identity=9)
    assert not owner.client._find_results(later)


def test_cached_bytes_are_bounded_and_counted() -> None:
    """Load: 100 jobs of 100 results of 5 KB, on a small instance."""
    budget = MemoryBudget(20_000_000)
    cache = ResultCache(budget)
    assert cache.limit == 1_000_000
    results = [_make_result(each, 'x' * 5000) for each in range(100)]
    for number in range(100):
        cache.put(JobId(f'job-{number}'), 1, 0, results)
        assert budget.held == cache.size
        assert cache.size <= cache.limit
    assert cache.find(JobId('job-99'), 0, 900_000) == (1, results)
    assert cache.find(JobId('job-0'), 0, 900_000) == (0, [])
    assert len(cache.find(JobId('job-99'), 90, 20_000)[1]) == 4
    cache.put(JobId('job-99'), 2, 0, results[:1])
    assert len(cache.find(JobId('job-99'), 0, 900_000)[1]) == 1
    assert cache.size < 5000 + 2 * RESULT_HEAD_BYTES
    cache.put(JobId('polled'), 1, 0, [])
    cache.put(JobId('job-99'), 3, 0, [])
    # Jobs without results would stay, as they have no size.
    assert not cache._jobs


def test_zone_cache_is_an_instance_without_edge_of_the_own_zone() -> None:
    """Entries have little memory and slow links."""
    places = [
        _make_place('owner', 'a', edge=''),
        _make_place('entry', 'b'),
        _make_place('entry-2', 'b'),
        _make_place('worker', 'b', edge=''),
        _make_place('worker-2', 'c', edge=''),
    ]
    me, owner = InstanceId('entry'), InstanceId('owner')
    assert choose_zone_cache(places, me, owner, _JOB) == 'worker'
    assert choose_zone_cache(places, owner, owner, _JOB) is None
    elsewhere = _make_place('far', 'b', region='south')
    # A job may be bound to regions; its results go to no further instance.
    assert choose_zone_cache([*places, elsewhere], me, owner, _JOB) is None
