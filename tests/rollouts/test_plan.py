"""When samplers load, which are borrowed, and how models share them."""

from guavagate.models import UpstreamId, WeightVersion
from guavagate.rollouts import ModelDemand, assign_samplers
from guavagate.rollouts._plan import (
    SamplerView,
    choose_samplers_to_borrow,
    plan_orders,
)


def _make_view(
    name: str,
    versions: dict[str, int],
    models: str = 'm',
    *,
    loading: bool = False,
    free: int = 12,
) -> SamplerView:
    return SamplerView(
        id=UpstreamId(name),
        versions={key: WeightVersion(each) for key, each in versions.items()},
        models=frozenset(models),
        loading=loading,
        free=free,
    )


def _make_demand(**fields: float) -> ModelDemand:
    return ModelDemand(**fields)  # type: ignore[arg-type]


def _make_versions(names: str) -> dict[UpstreamId, dict[str, WeightVersion]]:
    return {UpstreamId(name): {} for name in names}


def test_no_load_while_waiting_items_can_be_served() -> None:
    """A version is published as the next step, which accepts the old, arrives.

    Both samplers of the model can serve it; loading now would delay the step
    by a second.
    """
    samplers = [_make_view(name, {'m': 2}) for name in 'ab']
    demand = _make_demand(
        newest=3,
        required=2,
        waiting=20,
        version_age=0.1,
        open_jobs=1,
    )
    assert not plan_orders(samplers, {'m': demand})
    demand.waiting = 0
    assert len(plan_orders(samplers, {'m': demand})) == 1


def test_a_load_is_not_deferred_forever() -> None:
    """Items wait all the time, as in an overload."""
    samplers = [_make_view(name, {'m': 2}) for name in 'abcdef']
    demand = _make_demand(newest=3, required=2, waiting=20, version_age=3)
    assert plan_orders(samplers, {'m': demand})


def test_samplers_without_an_accepted_version_load_at_once() -> None:
    """The open step accepts only versions newer than any sampler has."""
    samplers = [_make_view(name, {'m': 1}) for name in 'abcdef']
    demand = _make_demand(newest=3, required=2, waiting=20)
    planned = plan_orders(samplers, {'m': demand})
    assert len(planned) == 2
    assert {each.version for each in planned} == {3}


def test_only_a_third_loads_at_the_same_time() -> None:
    """The others continue to serve, and loads share the weight store."""
    samplers = [_make_view(name, {'m': 1}) for name in 'abcdef']
    samplers[0].loading = True
    samplers[1].loading = True
    assert not plan_orders(samplers, {'m': _make_demand(newest=2)})


def test_one_of_two_keeps_serving() -> None:
    """A model with two samplers never has both loading unless it must."""
    samplers = [_make_view('a', {'m': 1}, loading=True)]
    samplers += [_make_view('b', {'m': 1})]
    samplers += [_make_view(name, {'n': 1}, 'n') for name in 'cdef']
    assert not plan_orders(samplers, {'m': _make_demand(newest=2)})


def test_an_idle_sampler_is_borrowed_for_a_short_model() -> None:
    """One model lost a sampler and its items wait; another model is idle."""
    samplers = [
        _make_view('a', {'m': 1}, 'm', free=0),
        _make_view('b', {'n': 1}, 'n'),
    ]
    demands = {
        'm': _make_demand(waiting=20, waiting_seconds=1),
        'n': _make_demand(),
    }
    assert choose_samplers_to_borrow(samplers, demands) == {'b': 'm'}


def test_a_burst_that_is_being_dispatched_borrows_no_sampler() -> None:
    """A step has just arrived; its items wait only for a moment."""
    samplers = [
        _make_view('a', {'m': 1}, 'm', free=0),
        _make_view('b', {'n': 1}, 'n'),
    ]
    demands = {'m': _make_demand(waiting=20, waiting_seconds=0.1)}
    assert not choose_samplers_to_borrow(samplers, demands)


def test_no_sampler_is_borrowed_while_its_own_items_wait() -> None:
    """All models lack samplers; borrowing from each other only costs loads."""
    samplers = [_make_view('b', {'n': 1}, 'n')]
    demands = {
        'm': _make_demand(waiting=20, waiting_seconds=1),
        'n': _make_demand(waiting=1),
    }
    assert not choose_samplers_to_borrow(samplers, demands)


def test_models_share_the_samplers_evenly() -> None:
    """Three trainers with six samplers get two each, to limit the loads."""
    versions = _make_versions('abcdef')
    assigned = assign_samplers(['m', 'n', 'o'], versions, {})
    for model in 'mno':
        assert sum(model in models for models in assigned.values()) == 2


def test_a_lost_sampler_moves_no_other() -> None:
    """Each model keeps its other samplers, because a move costs a load."""
    versions = _make_versions('abcdef')
    before = assign_samplers(['m', 'n', 'o'], versions, {})
    for gone in list(versions):
        left = _make_versions('abcdef'.replace(gone, ''))
        after = assign_samplers(['m', 'n', 'o'], left, before)
        assert all(after[each] == before[each] for each in left)


def test_fewer_samplers_than_models_serve_all() -> None:
    """One sampler is left for two trainers."""
    assigned = assign_samplers(['m', 'n'], {UpstreamId('a'): {}}, {})
    assert assigned == {'a': frozenset(('m', 'n'))}


def test_in_a_large_fleet_shares_follow_the_workloads() -> None:
    """One trainer submits half of what each of the two others submits."""
    versions = _make_versions('abcdefghijklmnopqrstuvwx')
    work = {'m': 1200.0, 'n': 2240.0, 'o': 2240.0}
    assigned = assign_samplers(['m', 'n', 'o'], versions, {}, work)
    counts = [
        sum(each in models for models in assigned.values()) for each in 'mno'
    ]
    assert sum(counts) == 24
    assert counts[0] == 5
    changed = {**work, 'm': 1400.0}
    assert (
        assign_samplers(['m', 'n', 'o'], versions, assigned, changed)
        == assigned
    )


def test_in_a_small_fleet_shares_stay_equal() -> None:
    """With two samplers each, one less would be half of a model's capacity."""
    work = {'m': 448.0, 'n': 936.0, 'o': 936.0}
    assigned = assign_samplers(
        ['m', 'n', 'o'], _make_versions('abcdef'), {}, work
    )
    counts = [
        sum(each in models for models in assigned.values()) for each in 'mno'
    ]
    assert counts == [2, 2, 2]


def test_the_extra_sampler_goes_to_the_largest_workload() -> None:
    """Three trainers share five samplers; one submits half as much.

    If the small one had two samplers, a large one would have a single sampler
    and all of its steps would be late.
    """
    work = {'m': 450.0, 'n': 900.0, 'o': 900.0}
    versions = _make_versions('abcde')
    before = assign_samplers(['m', 'n', 'o'], versions, {})
    assigned = assign_samplers(['m', 'n', 'o'], versions, before, work)
    counts = [
        sum(each in models for models in assigned.values()) for each in 'mno'
    ]
    assert counts == [1, 2, 2]
    nearly = {**work, 'm': 1000.0}
    assert (
        assign_samplers(['m', 'n', 'o'], versions, assigned, nearly) == assigned
    )


def test_no_load_when_the_next_step_is_imminent() -> None:
    """A trainer is behind schedule: it publishes a version and submits.

    The version arrives a tenth of a second before the step. If the samplers
    loaded then, because no item waits, this step and each later one would
    start a second late.
    """
    samplers = [_make_view(name, {'m': 2}) for name in 'abcdef']
    demand = _make_demand(newest=3, version_age=0.1, seconds_to_next_job=-4)
    assert not plan_orders(samplers, {'m': demand})
    demand.seconds_to_next_job = None
    assert not plan_orders(samplers, {'m': demand})
    demand.open_jobs = 1
    assert plan_orders(samplers, {'m': demand})


def test_a_load_fits_in_before_a_step_that_is_due_later() -> None:
    """A trainer is ahead of schedule; the samplers are idle meanwhile."""
    samplers = [_make_view(name, {'m': 2}) for name in 'abcdef']
    demand = _make_demand(newest=3, version_age=0.1, seconds_to_next_job=1.5)
    assert plan_orders(samplers, {'m': demand})
    demand.seconds_to_next_job = 0.5
    assert not plan_orders(samplers, {'m': demand})


def test_a_step_that_does_not_come_does_not_defer_loads() -> None:
    """The trainer has stopped; the samplers load nevertheless."""
    samplers = [_make_view(name, {'m': 2}) for name in 'abcdef']
    demand = _make_demand(newest=3, version_age=0.8, seconds_to_next_job=-0.7)
    assert plan_orders(samplers, {'m': demand})
