"""When samplers load and who helps, under loads of several models."""

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


def test_no_load_while_items_wait_that_can_be_served() -> None:
    """A version is named as the next step arrives, which accepts the former.

    Both samplers of the model can serve it; loading now would hold the step
    up by a second.
    """
    samplers = [_make_view(name, {'m': 2}) for name in 'ab']
    demand = _make_demand(
        newest=3, required=2, waiting=20, seconds_since_named=0.1, open_jobs=1
    )
    assert not plan_orders(samplers, {'m': demand})
    demand.waiting = 0
    assert len(plan_orders(samplers, {'m': demand})) == 1


def test_a_load_is_not_put_off_for_ever() -> None:
    """Items wait all the time, as in overload."""
    samplers = [_make_view(name, {'m': 2}) for name in 'abcdef']
    demand = _make_demand(
        newest=3, required=2, waiting=20, seconds_since_named=3
    )
    assert plan_orders(samplers, {'m': demand})


def test_samplers_that_can_serve_nothing_load_at_once() -> None:
    """The open step accepts only newer versions than any sampler has."""
    samplers = [_make_view(name, {'m': 1}) for name in 'abcdef']
    demand = _make_demand(newest=3, required=2, waiting=20)
    planned = plan_orders(samplers, {'m': demand})
    assert len(planned) == 2
    assert {each.version for each in planned} == {3}


def test_only_a_third_loads_at_once() -> None:
    """The others go on serving, and the weight store is shared."""
    samplers = [_make_view(name, {'m': 1}) for name in 'abcdef']
    samplers[0].loading = True
    samplers[1].loading = True
    assert not plan_orders(samplers, {'m': _make_demand(newest=2)})


def test_one_of_two_keeps_serving() -> None:
    """A model with two samplers never has both loading by choice."""
    samplers = [_make_view('a', {'m': 1}, loading=True)]
    samplers += [_make_view('b', {'m': 1})]
    samplers += [_make_view(name, {'n': 1}, 'n') for name in 'cdef']
    assert not plan_orders(samplers, {'m': _make_demand(newest=2)})


def test_an_idle_sampler_helps_a_model_that_falls_behind() -> None:
    """One model has lost a sampler and its items wait; another idles."""
    samplers = [
        _make_view('a', {'m': 1}, 'm', free=0),
        _make_view('b', {'n': 1}, 'n'),
    ]
    demands = {
        'm': _make_demand(waiting=20, waiting_seconds=1),
        'n': _make_demand(),
    }
    assert choose_samplers_to_borrow(samplers, demands) == {'b': 'm'}


def test_a_burst_that_is_being_handed_out_calls_no_helper() -> None:
    """A step has just arrived; its items wait for a moment only."""
    samplers = [
        _make_view('a', {'m': 1}, 'm', free=0),
        _make_view('b', {'n': 1}, 'n'),
    ]
    demands = {'m': _make_demand(waiting=20, waiting_seconds=0.1)}
    assert not choose_samplers_to_borrow(samplers, demands)


def test_nobody_helps_while_its_own_items_wait() -> None:
    """All models are short; taking from each other only costs loads."""
    samplers = [_make_view('b', {'n': 1}, 'n')]
    demands = {
        'm': _make_demand(waiting=20, waiting_seconds=1),
        'n': _make_demand(waiting=1),
    }
    assert not choose_samplers_to_borrow(samplers, demands)


def test_models_share_the_samplers_evenly() -> None:
    """Three trainers, six samplers: two each, and no more loads than that."""
    versions = _make_versions('abcdef')
    dealt = assign_samplers(['m', 'n', 'o'], versions, {})
    for model in 'mno':
        assert sum(model in models for models in dealt.values()) == 2


def test_a_lost_sampler_moves_no_other() -> None:
    """What a model holds it keeps, as each move costs a load."""
    versions = _make_versions('abcdef')
    before = assign_samplers(['m', 'n', 'o'], versions, {})
    for gone in list(versions):
        left = _make_versions('abcdef'.replace(gone, ''))
        after = assign_samplers(['m', 'n', 'o'], left, before)
        assert all(after[each] == before[each] for each in left)


def test_fewer_samplers_than_models_serve_all() -> None:
    """One sampler is left for two trainers."""
    dealt = assign_samplers(['m', 'n'], {UpstreamId('a'): {}}, {})
    assert dealt == {'a': frozenset(('m', 'n'))}


def test_in_a_large_fleet_shares_follow_the_work() -> None:
    """One trainer submits half of what the two others do."""
    versions = _make_versions('abcdefghijklmnopqrstuvwx')
    work = {'m': 1200.0, 'n': 2240.0, 'o': 2240.0}
    dealt = assign_samplers(['m', 'n', 'o'], versions, {}, work)
    counts = [sum(each in held for held in dealt.values()) for each in 'mno']
    assert sum(counts) == 24
    assert counts[0] == 5
    changed = {**work, 'm': 1400.0}
    assert assign_samplers(['m', 'n', 'o'], versions, dealt, changed) == dealt


def test_in_a_small_fleet_shares_stay_equal() -> None:
    """With two samplers each, one less would be half of a model's capacity."""
    work = {'m': 448.0, 'n': 936.0, 'o': 936.0}
    dealt = assign_samplers(['m', 'n', 'o'], _make_versions('abcdef'), {}, work)
    counts = [sum(each in held for held in dealt.values()) for each in 'mno']
    assert counts == [2, 2, 2]


def test_an_odd_sampler_is_for_the_trainer_that_submits_most() -> None:
    """Five samplers, three trainers; one submits half of what others do.

    With two samplers for the small one, a large one has a single sampler and
    none of its steps is in time.
    """
    work = {'m': 450.0, 'n': 900.0, 'o': 900.0}
    versions = _make_versions('abcde')
    before = assign_samplers(['m', 'n', 'o'], versions, {})
    dealt = assign_samplers(['m', 'n', 'o'], versions, before, work)
    counts = [sum(each in held for held in dealt.values()) for each in 'mno']
    assert counts == [1, 2, 2]
    nearly = {**work, 'm': 1000.0}
    assert assign_samplers(['m', 'n', 'o'], versions, dealt, nearly) == dealt


def test_no_load_as_the_next_step_is_about_to_come() -> None:
    """A trainer is behind its schedule: it names a version and submits.

    The version is heard of a tenth of a second before the step. Were the
    samplers to load then, as no item waits, the step would start a second
    late, and each one after it as well.
    """
    samplers = [_make_view(name, {'m': 2}) for name in 'abcdef']
    demand = _make_demand(
        newest=3, seconds_since_named=0.1, seconds_to_next_job=-4
    )
    assert not plan_orders(samplers, {'m': demand})
    demand.seconds_to_next_job = None
    assert not plan_orders(samplers, {'m': demand})
    demand.open_jobs = 1
    assert plan_orders(samplers, {'m': demand})


def test_a_load_fits_in_before_a_step_that_is_due_later() -> None:
    """A trainer is ahead of its schedule; the samplers idle meanwhile."""
    samplers = [_make_view(name, {'m': 2}) for name in 'abcdef']
    demand = _make_demand(
        newest=3, seconds_since_named=0.1, seconds_to_next_job=1.5
    )
    assert plan_orders(samplers, {'m': demand})
    demand.seconds_to_next_job = 0.5
    assert not plan_orders(samplers, {'m': demand})


def test_a_step_that_does_not_come_is_not_waited_for() -> None:
    """The trainer has stopped; the samplers load all the same."""
    samplers = [_make_view(name, {'m': 2}) for name in 'abcdef']
    demand = _make_demand(
        newest=3, seconds_since_named=0.8, seconds_to_next_job=-0.7
    )
    assert plan_orders(samplers, {'m': demand})
