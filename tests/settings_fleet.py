"""A fleet of nine instances with settings in force, for tests."""

from collections.abc import Sequence

from guavagate.measure.settings import SettingsFleet
from guavagate.settings import SettingsRecord

NINE = [f'i{number}' for number in range(9)]


def make_fleet(
    revisions: int = 1, names: Sequence[str] = NINE
) -> SettingsFleet:
    """Return a fleet on which `revisions` changes are in force."""
    fleet = SettingsFleet(list(names))
    fleet.world.clock.advance(3)
    for base in range(revisions):
        assert isinstance(fleet.change('i0', base, 1 + base), SettingsRecord)
    fleet.world.clock.advance(3)
    assert fleet.revisions() == {revisions}
    return fleet
