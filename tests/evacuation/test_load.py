"""How long evacuations take with as many instances as deployments have."""

from tests.evacuation.fleet import Fleet

_INSTANCES = 68
_NAMES = tuple(f'n{number:02}' for number in range(_INSTANCES))
_STEP_SECONDS = 0.02


def _measure(fleet: Fleet, expected: str) -> float:
    """Return the seconds until the last instance uses these upstreams."""
    seconds = float(0)
    while fleet.list_serving() != {expected}:
        fleet.clock.advance(_STEP_SECONDS)
        seconds += _STEP_SECONDS
        assert seconds < 5
    return seconds


def test_an_evacuation_reaches_all_instances_within_the_bound() -> None:
    """Set at any moment of the relay's watch, or while the relay is lost.

    Usually the watch ends with the change. A standby needs the time in which it
    notices that the relay is lost.
    """
    fleet = Fleet(_NAMES)
    usual = []
    for phase in range(12):
        fleet.clock.advance(0.5 + 0.13 * phase)
        fleet.evacuate('a')
        usual.append(_measure(fleet, 'b'))
        fleet.clock.advance(0.3)
        fleet.end('a')
        usual.append(_measure(fleet, 'ab'))
    assert max(usual) <= 0.3
    fleet.clock.advance(1)
    fleet.world.kill(fleet.find_relay())
    fleet.evacuate('a')
    assert _measure(fleet, 'b') <= 1.5
    assert fleet.world.store.calls.total() < 500
