"""Which samplers count, for what starts now and for what will be in time."""

import pytest

from guavagate.jobs._slots import list_slots, sum_slots_by_model
from guavagate.models import UpstreamId
from guavagate.rollouts import SamplerStates
from tests.jobs.samplers import MODEL, make_upstream

NOW = 100.0


def _make_states(names: str) -> SamplerStates:
    states = SamplerStates()
    for name in names:
        states.assigned[UpstreamId(name)] = frozenset((MODEL,))
        states.record_event_interval(UpstreamId(name), 0.04)
    return states


def _share(names: str, states: SamplerStates) -> float:
    serving = [make_upstream(name) for name in names]
    listed = list_slots(serving, states, 4, NOW, include_upcoming=True)
    return sum_slots_by_model(listed).get(MODEL, 0)


def test_samplers_that_load_count_for_the_forecast() -> None:
    """A trainer has named a version, and all of its samplers load.

    For a second none of them starts anything. Were that taken for the time
    that is left, every open step would seem late and go behind others.
    """
    states = _make_states('xyz')
    for name in 'xyz':
        states.get(UpstreamId(name)).loading = True
    serving = [make_upstream(name) for name in 'xyz']
    assert not list_slots(serving, states, 4, NOW)
    assert _share('xyz', states) == 12


def test_samplers_that_are_gone_for_long_do_not_count() -> None:
    """One is silent, one was ejected for seconds, one refused just now."""
    states = _make_states('wxyz')
    states.get(UpstreamId('x')).stalled = True
    states.get(UpstreamId('y')).avoid_until = NOW + 4
    states.get(UpstreamId('z')).avoid_until = NOW + 0.1
    assert _share('wxyz', states) == 8


def test_a_slow_sampler_counts_for_what_it_makes() -> None:
    """It takes four times as long for an event as the two others."""
    states = _make_states('xyz')
    states.get(UpstreamId('x')).event_interval = 0.16
    assert _share('xyz', states) == pytest.approx(9)
