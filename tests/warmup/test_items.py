"""Starts of items at samplers with a warm-up, as the samplers see them."""

import msgspec

from guavagate.jobs.scheduling._slots import list_slots, sum_slots_by_model
from guavagate.models import UpstreamId
from guavagate.ports.configuration import Warmup
from tests.jobs.fleet import JobFleet, Node, check_complete, make_job
from tests.jobs.samplers import MODEL, SERVICE, make_upstream
from tests.warmup.common import MAX_PER_SECOND, WARMUP, find_most

SLOTS = 8


def _make_fleet(
    samplers: str = 'xyz',
    cold: str = '',
    warmup: Warmup | None = WARMUP,
    length: int = 5,
) -> JobFleet:
    """Return instances whose samplers have eight slots, some of them cold.

    The texts are short, so that slots are free again at once.
    """
    fleet = JobFleet(samplers=samplers, warmup=warmup, length=length)
    for name in samplers:
        _register(fleet, name, cold_for=30 if name in cold else 0)
    fleet.clock.advance(2)
    return fleet


def _register(fleet: JobFleet, name: str, **fields: object) -> None:
    for node in fleet.nodes.values():
        upstream = make_upstream(name, slots=SLOTS)
        node.upstreams.put(msgspec.structs.replace(upstream, **fields))
        node.states.update(node.upstreams.registered())


def _get_owner(fleet: JobFleet) -> Node:
    """Return the owner; it has proven to be the only holder."""
    node = fleet.nodes[fleet.owner()]
    node.budgets.get(SERVICE).is_sole = lambda: True
    return node


def _list_arrivals(fleet: JobFleet, sampler: str) -> list[float]:
    """Return when requests of any instance arrived at a sampler."""
    return sorted(
        time
        for node in fleet.nodes.values()
        for time in node.samplers.arrivals.get(sampler, [])
    )


def _check_bound(fleet: JobFleet, most: int = MAX_PER_SECOND) -> None:
    for name in fleet.samplers:
        assert find_most(_list_arrivals(fleet, name)) <= most, name


def test_a_burst_of_items_to_a_returning_zone() -> None:
    """All samplers are cold, and a hundred items wait for them.

    Without a limit each slot that becomes free is used at once: 25 starts at a
    sampler within a second.
    """
    fleet = _make_fleet(cold='xyz')
    _get_owner(fleet)
    fleet.submit(make_job(groups=100, size=1), 'a')
    fleet.clock.advance(1.8)
    _check_bound(fleet, most=8)
    starts = sum(len(_list_arrivals(fleet, name)) for name in 'xyz')
    assert starts >= 3 * 8
    fleet.clock.advance(6)
    check_complete(fleet, 'a', 100)
    _check_bound(fleet)


def test_a_sampler_that_becomes_cold_without_notice() -> None:
    """It is warm by its registration, so only the constant limit holds."""
    fleet = _make_fleet('x')
    _get_owner(fleet)
    fleet.submit(make_job(groups=120, size=1), 'a')
    fleet.clock.advance(3)
    assert 12 <= find_most(_list_arrivals(fleet, 'x')) <= 13


def test_a_service_without_a_warm_up_is_not_limited() -> None:
    """Its samplers take as many items as they have slots."""
    fleet = _make_fleet('x', warmup=None)
    fleet.submit(make_job(groups=120, size=1), 'a')
    fleet.clock.advance(3)
    assert find_most(_list_arrivals(fleet, 'x')) > 25


def test_retries_of_refused_items_count() -> None:
    """A sampler that loads a version refuses at once, 8 items at a time.

    Each item was tried again every 0.1 s, and a cold sampler got 22 requests
    within a second.
    """
    fleet = _make_fleet('x', cold='x')
    owner = _get_owner(fleet)
    owner.samplers.full.add('x')
    fleet.submit(make_job(groups=30, size=1), 'a')
    fleet.clock.advance(3)
    _check_bound(fleet, most=8)
    owner.samplers.full.clear()
    fleet.clock.advance(8)
    check_complete(fleet, 'a', 30)


def test_a_sampler_that_refuses_is_asked_less_and_less_often() -> None:
    """One item waits, and uses up starts that others may need then."""
    fleet = _make_fleet('x')
    owner = _get_owner(fleet)
    owner.samplers.full.add('x')
    fleet.submit(make_job(groups=1, size=1), 'a')
    fleet.clock.advance(4)
    assert 5 <= len(_list_arrivals(fleet, 'x')) <= 8
    owner.samplers.full.clear()
    fleet.clock.advance(2)
    check_complete(fleet, 'a', 1)


def test_items_use_warm_samplers_first() -> None:
    """The cold sampler has the only idle connections, and a short interval."""
    fleet = _make_fleet('xyz', cold='x', length=40)
    owner = _get_owner(fleet)
    owner.samplers.idle['x'] = 8
    owner.states.get(UpstreamId('x')).event_interval = 0.01
    fleet.submit(make_job(groups=16, size=1), 'a')
    fleet.clock.advance(1.5)
    assert not _list_arrivals(fleet, 'x')
    fleet.submit(make_job('job-2', groups=4, size=1), 'a')
    fleet.clock.advance(1)
    assert _list_arrivals(fleet, 'x')


def test_no_text_is_cancelled_for_a_sampler_that_may_not_take_it() -> None:
    """The texts run on a slow sampler, and the fast one has just started.

    Each cancelled text would wait, while its slot is given to another one.
    """
    fleet = _make_fleet('xy', length=60)
    for node in fleet.nodes.values():
        node.samplers.event_seconds['x'] = 0.15
    owner = _get_owner(fleet)
    owner.states.record_event_interval(UpstreamId('y'), 0.05)
    owner.states.get(UpstreamId('y')).unresponsive = True
    fleet.submit(make_job(groups=8, size=1), 'a')
    fleet.clock.advance(2)
    assert len(_list_arrivals(fleet, 'x')) == 8
    starts = owner.budgets.get(SERVICE)
    for _ in range(13):
        starts.start(UpstreamId('y'), owner.clock.now())
    owner.states.get(UpstreamId('y')).unresponsive = False
    fleet.clock.advance(1)
    works = owner.owner._active_jobs.list_open()
    moved = [each.moves for work in works for each in work.items.values()]
    assert not any(moved)
    fleet.clock.advance(3)
    assert _list_arrivals(fleet, 'y')


def test_the_owner_is_lost_while_samplers_are_cold() -> None:
    """It used its whole budget in the second before it was lost.

    The next owner treats that as spent, and still runs the rest.
    """
    fleet = _make_fleet(cold='xyz')
    first = _get_owner(fleet)
    fleet.submit(make_job(groups=60, size=1), 'a')
    fleet.clock.advance(0.1)
    before = {name: list(_list_arrivals(fleet, name)) for name in 'xyz'}
    assert all(before.values())
    fleet.world.kill(fleet.owner())
    second = next(
        each for each in fleet.nodes.values() if each.owner is not first.owner
    )
    fleet.clock.run_until(lambda: _has_started_elsewhere(fleet, first), 10)
    _check_bound(fleet)
    fleet.clock.advance(12)
    check_complete(fleet, second.ownership.me, 60)
    _check_bound(fleet)


def _has_started_elsewhere(fleet: JobFleet, first: Node) -> bool:
    return any(
        node.samplers.arrivals
        for node in fleet.nodes.values()
        if node is not first
    )


def test_a_successor_starts_no_cold_sampler_in_its_first_second() -> None:
    """It takes over at once here, so all of the former starts are recent."""
    fleet = _make_fleet('xyz', cold='xyz')
    first = _get_owner(fleet)
    fleet.submit(make_job(groups=60, size=1), 'a')
    fleet.clock.advance(1)
    first.owner.stop(None)
    other = next(each for each in fleet.nodes.values() if each is not first)
    began_at = fleet.clock.now()
    other.owner.start()
    fleet.clock.advance(1.1)
    assert not other.samplers.arrivals
    fleet.clock.run_until(lambda: bool(other.samplers.arrivals), 5)
    assert 1.15 <= fleet.clock.now() - began_at < 3
    _check_bound(fleet)


def test_two_owners_at_once() -> None:
    """The owner is cut off, and does not notice; both have the same items."""
    fleet = _make_fleet(cold='xyz')
    first = _get_owner(fleet)
    fleet.submit(make_job(groups=200, size=1), 'a')
    me = first.ownership.me
    for other in fleet.world.hosts:
        fleet.world.network.blocked |= {(me, other), (other, me)}
    fleet.clock.advance(4)
    others = [each for each in fleet.nodes.values() if each is not first]
    assert first.owner.active
    assert sum(each.owner.active for each in others) == 1
    assert first.samplers.arrivals
    assert any(each.samplers.arrivals for each in others)
    _check_bound(fleet)
    for name in fleet.samplers:
        _register(fleet, name)
    fleet.clock.advance(3)
    _check_bound(fleet)


def test_an_item_that_was_suspended_before_it_was_sent_is_not_sent() -> None:
    """The process is suspended between the permission and the request.

    It would be sent in a second in which others were permitted. It may be sent
    if the budget has a start left, which it uses up.
    """
    fleet = _make_fleet('x')
    owner = _get_owner(fleet)
    starts = owner.budgets.get(SERVICE)
    upstream = owner.upstreams.registered()[0]
    now = fleet.clock.now()
    for _ in range(10):
        assert starts.start(upstream.id, now)
    fleet.clock.advance(0.2)
    sent = [owner.upstreams.gate.may_send(upstream) for _ in range(10)]
    assert sent == [True] * 3 + [False] * 7
    assert not starts.count_allowed(upstream.id, fleet.clock.now())


def test_the_forecast_counts_what_the_limit_leaves() -> None:
    """Eight slots of a cold sampler with texts of 0.25 s are hardly used.

    A forecast by slots would let a burst of groups wait for this ramp.
    """
    fleet = _make_fleet('x', cold='x')
    owner = _get_owner(fleet)
    listed = list_slots(
        owner.upstreams.serving(SERVICE),
        owner.states,
        SLOTS,
        owner.clock.now(),
        starts=owner.budgets.get(SERVICE),
    )
    slots = sum_slots_by_model(listed, {MODEL: 0.25})[MODEL]
    assert 1.5 < slots < 2
    assert sum_slots_by_model(listed, {MODEL: 4})[MODEL] == SLOTS
