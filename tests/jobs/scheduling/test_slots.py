"""Which samplers count for starting items and for the forecast."""

import pytest

from guavagate.jobs.scheduling._slots import list_slots, sum_slots_by_model
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


def _sum_slots(names: str, states: SamplerStates) -> float:
    serving = [make_upstream(name) for name in names]
    listed = list_slots(serving, states, 4, NOW, include_upcoming=True)
    return sum_slots_by_model(listed).get(MODEL, 0)


def test_forecast_counts_samplers_that_load() -> None:
    """A trainer publishes a version, and all of its samplers load it.

    For a second none of them starts items. If the forecast assumed no slots
    for the whole remaining time, it would defer every open step.
    """
    states = _make_states('xyz')
    for name in 'xyz':
        states.get(UpstreamId(name)).loading = True
    serving = [make_upstream(name) for name in 'xyz']
    assert not list_slots(serving, states, 4, NOW)
    assert _sum_slots('xyz', states) == 12


def test_forecast_ignores_samplers_that_stay_unavailable() -> None:
    """One is unresponsive, one ejected for seconds, one just refused."""
    states = _make_states('wxyz')
    states.get(UpstreamId('x')).unresponsive = True
    states.get(UpstreamId('y')).avoid_until = NOW + 4
    states.get(UpstreamId('z')).avoid_until = NOW + 0.1
    assert _sum_slots('wxyz', states) == 8


def test_a_slow_sampler_counts_by_its_speed() -> None:
    """Its event interval is four times that of the two others."""
    states = _make_states('xyz')
    states.get(UpstreamId('x')).event_interval = 0.16
    assert _sum_slots('xyz', states) == pytest.approx(9)
