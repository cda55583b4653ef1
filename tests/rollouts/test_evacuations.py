"""Assignment and orders while a zone of samplers is evacuated."""

import logging

import msgspec
import pytest

from guavagate.models import WeightVersion, ZoneId
from guavagate.routing import EligibleSamplers
from tests.jobs.samplers import MODEL, make_upstream
from tests.rollouts.test_assigner import _Owner, _read_events, _start
from tests.rollouts.test_coordinator import _Setup

_ZONE = ZoneId('zone-1')


def test_a_zone_leaves_and_returns_in_one_decision_each(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Counted out one by one, samplers would move between models each time.

    A third of 24 samplers is evacuated. Few of the others load another model.
    """
    caplog.set_level(logging.INFO)
    owner = _start()
    owner.assign()
    before = dict(owner.states.assigned)
    everyone = owner.serving
    owner.serving = everyone[:16]
    owner.states.update(owner.serving)
    _read_events(caplog)
    for _ in range(20):
        owner.assign()
    assigned = owner.states.assigned
    assert len(_read_events(caplog)) == 1
    assert sum(assigned[each] != before[each] for each in assigned) <= 6
    sizes = [
        list(assigned.values()).count(each) for each in set(before.values())
    ]
    assert max(sizes) - min(sizes) <= 1
    owner.serving = everyone
    owner.states.update(owner.serving)
    for _ in range(20):
        owner.assign()
    assert len(_read_events(caplog)) == 1


def test_all_zones_leave_and_return_with_the_same_models() -> None:
    """Samplers have what their models need loaded, and would load it again."""
    first = _start()
    first.assign()
    owner = _Owner(first.list_loaded(7))
    before = dict(first.states.assigned)
    owner.states.assigned = before
    everyone = owner.serving
    for serving in ([], everyone):
        owner.serving = serving
        owner.states.update(serving)
        for _ in range(10):
            owner.assign()
    assert owner.states.assigned == before


class _Coordinated(_Setup):
    """Six samplers, of which e and f are in another zone."""

    def __init__(self) -> None:
        super().__init__()
        for name in 'ef':
            moved = msgspec.structs.replace(make_upstream(name), zone=_ZONE)
            self.upstreams.put(moved)
        self.coordinator._client = EligibleSamplers(
            self.samplers, self.upstreams
        )

    def evacuate(self, *zones: ZoneId) -> None:
        """Set the evacuated zones."""
        self.upstreams.set_evacuated(frozenset(zones))

    def list_called(self) -> set[str]:
        """Return the samplers that got an order or a request for a report."""
        ordered = {name for _, name, _ in self.samplers.orders}
        return ordered | {
            name for name, n in self.samplers.reports.items() if n
        }


def test_samplers_of_an_evacuated_zone_load_at_its_return() -> None:
    """Nothing is sent there meanwhile, and they miss two versions."""
    setup = _Coordinated()
    setup.evacuate(_ZONE)
    setup.publish(2)
    setup.clock.advance(8)
    setup.publish(3)
    setup.clock.advance(8)
    assert setup.list_called() == set('abcd')
    setup.evacuate()
    setup.clock.advance(6)
    assert set(setup.samplers.versions.values()) == {3}
    assert setup.list_called() == set('abcdef')


def test_an_order_in_flight_ends_with_its_zone(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The samplers are not asked how far they are, and are not blamed.

    At the return, how many orders they took is read from a report.
    """
    caplog.set_level(logging.INFO)
    setup = _Coordinated()
    setup.publish(2)
    setup.clock.run_until(
        lambda: any(name in 'ef' for _, name, _ in setup.samplers.orders), 10
    )
    for name in 'ef':
        # A text that runs on keeps the sampler's state.
        setup.states.get(make_upstream(name).id).in_flight = 1
    setup.evacuate(_ZONE)
    reports = dict(setup.samplers.reports)
    setup.clock.advance(5)
    assert setup.samplers.reports['e'] == reports.get('e', 0)
    assert setup.samplers.reports['f'] == reports.get('f', 0)
    assert not any('GG9106' in each for each in caplog.messages)
    setup.evacuate()
    setup.publish(3)
    setup.clock.advance(8)
    assert {setup.samplers.versions[each] for each in 'ef'} == {3}


def test_a_report_in_flight_does_not_count_after_the_return() -> None:
    """It was sent before the evacuation; the sampler has restarted since."""
    setup = _Coordinated()
    setup.samplers.incarnation = dict.fromkeys('abcdef', 100)
    setup.publish(2)
    setup.clock.advance(8)
    setup.evacuate(_ZONE)
    setup.clock.advance(2)
    for name in 'ef':
        setup.samplers.orders_taken[name] = 0
        setup.samplers.incarnation[name] = 200
        setup.samplers.versions[name] = WeightVersion(1)
    setup.evacuate()
    setup.publish(3)
    setup.clock.advance(8)
    assert {setup.samplers.versions[each] for each in 'ef'} == {3}
    assert setup.states.get(make_upstream('e').id).versions[MODEL] == 3
