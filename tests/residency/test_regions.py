"""Which regions bind a request, and where the bodies of jobs may be."""

import pytest

from guavagate.models import ANYWHERE, RegionId, Regions, ZoneId
from guavagate.residency import (
    combine_regions,
    find_default_regions,
    find_home_regions,
    find_shared_regions,
    make_region_map,
    read_regions,
)


def _make(names: str | None) -> Regions:
    """Return a region for each letter; none for `None`."""
    return None if names is None else frozenset(map(RegionId, names))


@pytest.mark.parametrize(
    ('route', 'team', 'combined'),
    [
        (None, None, None),
        ('ab', None, 'ab'),
        (None, 'b', 'b'),
        ('ab', 'bc', 'b'),
        ('a', 'b', ''),
    ],
)
def test_both_bounds_apply(
    route: str | None, team: str | None, combined: str | None
) -> None:
    """A contradiction must not be taken for no bound."""
    assert combine_regions(_make(route), _make(team)) == _make(combined)


def test_a_list_without_names_is_no_bound() -> None:
    """A route with an empty list would otherwise be refused everywhere."""
    assert read_regions(None) is ANYWHERE
    assert read_regions([]) is ANYWHERE
    assert read_regions(['a']) == _make('a')


def test_zones_without_a_name_of_a_region_have_none() -> None:
    """An unreadable entry must not keep the instance from starting."""
    zones = {'x': 'a', 'y': 3, 'z': ''}
    assert make_region_map(zones) == {ZoneId('x'): RegionId('a')}


def test_the_owner_is_inside_all_bounds() -> None:
    """Contradicting pairs have no jobs, and unbound ones run anywhere."""
    home = find_home_regions(map(_make, [None, 'ab', '', 'b']))
    assert home == _make('b')
    assert find_home_regions(map(_make, [None, ''])) is ANYWHERE


def test_without_a_common_region_the_owner_stays_in_one() -> None:
    """A takeover in another region would leave accepted jobs without owner."""
    assert find_home_regions(map(_make, ['b', 'a', 'cb'])) == _make('b')
    assert find_home_regions(map(_make, ['b', 'a'])) == _make('a')


def test_samplers_of_a_model_are_where_its_jobs_are() -> None:
    """A model whose jobs have no region in common needs samplers in all."""
    assert find_shared_regions(map(_make, [None, 'ab', 'b'])) == _make('b')
    assert find_shared_regions(map(_make, ['a', 'b'])) == _make('ab')
    assert find_default_regions(map(_make, ['a', 'b', ''])) == _make('ab')
    assert find_default_regions(map(_make, ['a', None])) is ANYWHERE
