"""Load of 57 entries and one owner on a zone that returns."""

import random

from guavagate.models import UpstreamId
from tests.warmup.common import MAX_PER_SECOND, find_most
from tests.warmup.fleet import SERVICE, Fleet

_NAMES = 'abcdefgh'
_STEP_SECONDS = 0.02


def _run(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Offer 200 requests per second at the entries, and items without end."""
    entries = fleet.entries
    for _ in range(round(seconds / _STEP_SECONDS)):
        for _ in range(4):
            rng.choice(entries).send()
        now = fleet.clock.now()
        for name in _NAMES:
            each = UpstreamId(name)
            if fleet.holder.starts.start(each, now):
                fleet.record(each)
        fleet.clock.advance(_STEP_SECONDS)


def test_a_fleet_and_one_owner_on_a_zone_of_cold_samplers() -> None:
    """All demand of the fleet waits for a zone that returns all at once.

    The samplers become warm one after the other, and cold again without notice
    just after that, so the bound holds at each of them at all times.
    """
    fleet = Fleet(entries=56, upstreams=_NAMES, with_jobs=True)
    fleet.holder.starts.is_sole = lambda: True
    rng = random.Random(1)
    for name in _NAMES:
        fleet.register(name, cold_for=3)
    began_at = fleet.clock.now()
    _run(fleet, rng, 3)
    for name in _NAMES:
        assert find_most(fleet.starts[name]) <= 8, name
        assert len(fleet.starts[name]) >= 3 * 8 / 1.15 - 1, name
    for name in _NAMES:
        fleet.register(name, cold_for=0)
        _run(fleet, rng, 0.2)
    _run(fleet, rng, 2)
    for name in _NAMES:
        most = find_most(fleet.starts[name])
        assert 12 <= most <= 13, name
        late = [each for each in fleet.starts[name] if each > began_at + 4.6]
        assert len(late) / 2 > 10, name
    messages = fleet.world.network.messages
    assert messages['AskWarmup'] <= 200 * 7


def test_another_instance_grants_beside_the_owner() -> None:
    """A part of the fleet takes a successor for the holder, for 3 s."""
    fleet = Fleet(entries=56, upstreams=_NAMES, with_jobs=True)
    fleet.holder.starts.is_sole = lambda: True
    fleet.successor.turns.order = [fleet.successor.turns.me]
    for each in fleet.entries[::3]:
        each.turns.order = fleet.successor.turns.order
    for name in _NAMES:
        fleet.register(name, cold_for=0)
    _run(fleet, random.Random(2), 3)
    for name in _NAMES:
        assert 13 < find_most(fleet.starts[name]) <= MAX_PER_SECOND, name
    assert fleet.entries[0].table.explain(SERVICE) is None
