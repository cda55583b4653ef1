"""Which idle samplers are borrowed for items that wait."""

from guavagate.models import WeightVersion
from guavagate.rollouts._plan import choose_samplers_to_borrow, plan_orders
from tests.rollouts.test_plan import _make_demand, _make_view


def test_no_sampler_is_borrowed_for_items_that_start_before_a_load_ends() -> (
    None
):
    """Twelve items wait for 24 slots; each text takes a second.

    A load takes as long, so all of them have started when it ends.
    """
    samplers = [_make_view(name, {'m': 1}, 'm', free=0) for name in 'abc']
    for each in samplers:
        each.in_flight = 8
    samplers.append(_make_view('idle', {'n': 1}, 'n'))
    demand = _make_demand(waiting=12, waiting_seconds=1, item_seconds=1)
    assert not choose_samplers_to_borrow(samplers, {'m': demand})
    demand.item_seconds = 4
    assert choose_samplers_to_borrow(samplers, {'m': demand}) == {'idle': 'm'}


def test_a_sampler_that_needs_no_load_is_borrowed_for_short_items_too() -> None:
    """It was borrowed before and has a version that the step accepts."""
    samplers = [_make_view('a', {'m': 3}, 'm', free=0)]
    samplers[0].in_flight = 12
    samplers += [
        _make_view('cold', {'n': 3, 'm': 1}, 'n'),
        _make_view('warm', {'n': 3, 'm': 2}, 'n'),
    ]
    demand = _make_demand(
        required=2, waiting=6, waiting_seconds=1, item_seconds=0.5
    )
    assert choose_samplers_to_borrow(samplers, {'m': demand}) == {'warm': 'm'}


def test_a_borrowed_sampler_that_loads_is_counted_for_the_next_one() -> None:
    """Its slots are free when its load ends, before another one's would be."""
    samplers = [_make_view('a', {'m': 2}, 'm', free=0)]
    samplers[0].in_flight = 8
    samplers += [
        _make_view('b', {'n': 1}, 'mn', loading=True, free=8),
        _make_view('c', {'n': 1}, 'n'),
    ]
    demand = _make_demand(waiting=12, waiting_seconds=1, item_seconds=2)
    assert not choose_samplers_to_borrow(samplers, {'m': demand})
    demand.waiting = 40
    assert choose_samplers_to_borrow(samplers, {'m': demand}) == {'c': 'm'}


def test_a_borrowed_sampler_loads_no_newer_version_than_it_needs() -> None:
    """The load would cost, and the sampler returns to its own model."""
    samplers = [_make_view('a', {'m': 2, 'n': 3}, 'mn')]
    samplers[0].borrowed = 'm'
    demands = {
        'm': _make_demand(newest=3, required=2, waiting=9, version_age=3),
        'n': _make_demand(newest=3),
    }
    assert not plan_orders(samplers, demands)
    demands['m'].required = WeightVersion(3)
    assert [each.model for each in plan_orders(samplers, demands)] == ['m']
