"""Samplers of models that are bound to regions."""

import pytest

from guavagate.models import RegionId, Regions, UpstreamId, WeightVersion
from guavagate.rollouts import ModelDemand
from guavagate.rollouts._capacity import ModelWork, SamplerCapacity
from guavagate.rollouts._plan import (
    SamplerView,
    choose_samplers_to_borrow,
)
from guavagate.rollouts._regions import allocate_within_regions
from tests.residency.bench import NORTH, SOUTH, make_regions

_MODELS = ('m', 'n', 'o')


class _Fleet:
    """Samplers named by their regions, and the models that they serve."""

    def __init__(self, north: int, south: int) -> None:
        names = [f'n{number:02}' for number in range(north)]
        names += [f's{number:02}' for number in range(south)]
        self.fleet = {
            UpstreamId(name): SamplerCapacity(
                slots=8,
                versions=dict.fromkeys(_MODELS, WeightVersion(1)),
                relative_interval=1,
            )
            for name in names
        }
        self.regions: dict[UpstreamId, RegionId | None] = {
            each: NORTH if each.startswith('n') else SOUTH
            for each in self.fleet
        }
        self.assignment: dict[UpstreamId, frozenset[str]] = {}
        self.states: dict = {}

    def assign(self, workload: float = 100, **bounds: Regions) -> int:
        """Assign the samplers; return how many have other models now.

        `workload` is that of the model m; the others have 100.
        """
        works = dict.fromkeys(_MODELS, ModelWork(workload=100))
        works['m'] = ModelWork(workload=workload)
        before = self.assignment
        self.assignment = allocate_within_regions(
            _MODELS,
            self.fleet,
            works,
            before,
            self.states,
            0,
            bounds,
            self.regions,
        ).assignment
        assert self.assignment.keys() == self.fleet.keys()
        return sum(
            models != before.get(each)
            for each, models in self.assignment.items()
        )

    def count(self, model: str) -> dict[str, int]:
        """Return the number of a model's samplers by region."""
        served = [
            each[0]
            for each, models in self.assignment.items()
            if model in models
        ]
        return {each: served.count(each) for each in sorted(set(served))}


def test_a_bound_model_gets_its_share_inside() -> None:
    """Shared by workload alone, its samplers would be in both regions."""
    fleet = _Fleet(12, 12)
    fleet.assign(m=make_regions(SOUTH))
    assert fleet.count('m') == {'s': 8}
    assert sum(fleet.count('n').values()) == 8
    assert sum(fleet.count('o').values()) == 8


def test_a_change_of_regions_moves_the_samplers_inside() -> None:
    """The model's former samplers could serve none of its items."""
    fleet = _Fleet(12, 12)
    fleet.assign(m=make_regions(SOUTH))
    fleet.assign(m=make_regions(NORTH))
    assert fleet.count('m') == {'n': 8}
    assert fleet.assign(m=make_regions(NORTH)) == 0


def test_a_slightly_changed_workload_moves_no_sampler() -> None:
    """Each sampler that changes its model costs a load."""
    fleet = _Fleet(12, 12)
    fleet.assign(m=make_regions(SOUTH))
    assert fleet.assign(110, m=make_regions(SOUTH)) == 0


@pytest.mark.parametrize(('north', 'south'), [(12, 2), (2, 12), (1, 1)])
def test_every_model_keeps_a_sampler_that_it_may_use(
    north: int, south: int
) -> None:
    """With few samplers inside, a bound model must not take or lose all."""
    fleet = _Fleet(north, south)
    fleet.assign(
        1000,
        m=make_regions(SOUTH),
        n=make_regions(NORTH),
        o=make_regions(SOUTH),
    )
    assert fleet.count('m').keys() == {'s'}
    assert fleet.count('n').keys() == {'n'}
    assert fleet.count('o').keys() == {'s'}


def test_samplers_that_no_model_may_use_load_nothing() -> None:
    """All models are bound; versions loaded elsewhere would only cost."""
    fleet = _Fleet(4, 4)
    south = make_regions(SOUTH)
    fleet.assign(m=south, n=south, o=south)
    assert {each[0] for each, models in fleet.assignment.items() if models} == {
        's'
    }


def test_only_samplers_inside_are_borrowed() -> None:
    """A borrowed sampler outside would load a version and get no item."""
    samplers = [
        SamplerView(
            id=UpstreamId(region),
            versions={'m': WeightVersion(1)},
            models=frozenset('n'),
            free=8,
            region=region,
        )
        for region in (NORTH, SOUTH)
    ]
    demand = ModelDemand(
        waiting=9, waiting_seconds=2, regions=make_regions(SOUTH)
    )
    borrowed = choose_samplers_to_borrow(samplers, {'m': demand})
    assert borrowed == {'south': 'm'}
