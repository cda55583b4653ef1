"""Evacuated zones, and removals in the order of several relays."""

from guavagate.evacuation import EvacuatedZones
from guavagate.feeds._messages import FeedEntry
from guavagate.feeds._table import FeedTable
from guavagate.models import Revision, ZoneId

_ZONE = ZoneId('a')
_PATH = 'evacuations/a'


def test_an_evacuation_begins_once() -> None:
    """A list repeats the object, perhaps in a newer revision."""
    zones = EvacuatedZones()
    assert zones.put(_ZONE, Revision(3), 1.0)
    assert zones.put(_ZONE, Revision(4), 2.0) is None
    assert [(each.revision, each.since) for each in zones.list_zones()] == [
        (4, 1.0)
    ]
    assert zones.remove(_ZONE)
    assert zones.remove(_ZONE) is None
    assert not zones.ids


def test_an_unknown_zone_is_taken_once_for_each_evacuation() -> None:
    """Each check would log it again."""
    zones = EvacuatedZones()
    zones.put(_ZONE, Revision(3), 1.0)
    assert not zones.take_unknown({_ZONE})
    assert [each.id for each in zones.take_unknown(set())] == [_ZONE]
    assert not zones.take_unknown(set())


def _make_entry(version: int, value: bytes | None = None) -> FeedEntry:
    return FeedEntry(path=_PATH, version=Revision(version), value=value)


def test_a_late_removal_does_not_remove_the_next_creation() -> None:
    """Two relays report the end of an object and its next creation.

    The slower one's removal arrives last, and the zone would be used again.
    """
    table = FeedTable()
    present: set[str] = set()
    table.register_handlers(
        'evacuations', lambda stored: present.add(stored.path), present.discard
    )
    table.apply(_make_entry(5, b'{}'))
    table.apply(_make_entry(5))
    table.apply(_make_entry(9, b'{}'))
    table.apply(_make_entry(5))
    assert table.versions('evacuations') == {_PATH: 9}
    # A list at revision 12 lacks the object.
    table.apply(_make_entry(12))
    assert not table.versions('evacuations')
    table.apply(_make_entry(13, b'{}'))
    assert table.versions('evacuations') == {_PATH: 13}
