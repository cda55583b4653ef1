"""Tests of accepted changes: races, lost answers and doubt."""

from guavagate.measure.settings import TEAM
from guavagate.settings import (
    SettingsConflictError,
    SettingsRecord,
    SettingsUnsureError,
)
from tests.settings_fleet import make_fleet


def test_of_two_operators_the_later_gets_the_others_change() -> None:
    """Both edit revision 1; the second is refused, not merged or lost.

    Amina's change is accepted first. Baraka's is made from the same revision
    through another instance: its conditional update fails, and the error
    tells who changed what, and why.
    """
    fleet = make_fleet()
    assert isinstance(fleet.change('i1', 1, 5, why='spring'), SettingsRecord)
    refused = fleet.change('i2', 1, 6, who='baraka')
    assert isinstance(refused, SettingsConflictError)
    assert refused.other is not None
    assert (refused.other.who, refused.other.why) == ('amina', 'spring')
    assert 'weight = 5' in refused.toml
    fleet.world.clock.advance(3)
    assert fleet.revisions() == {2}


def test_two_changes_at_the_same_moment_leave_one_accepted() -> None:
    """Reads cross, so both writers believe that they are first.

    Both read revision 1 before either writes. The store takes one; the other
    reads again and finds a change that is not its own.
    """
    fleet = make_fleet()
    clock = fleet.world.clock
    tasks = [
        clock.spawn(fleet._change, name, 1, 5, {'who': name})
        for name in ('i1', 'i2')
    ]
    clock.run_until(lambda: all(task.ready() for task in tasks))
    outcomes = [task.get(block=False) for task in tasks]
    assert sum(isinstance(one, SettingsRecord) for one in outcomes) == 1
    assert sum(isinstance(one, SettingsConflictError) for one in outcomes) == 1
    assert all(task.ready() for task in tasks)


def test_a_write_whose_answer_is_lost_is_accepted_once() -> None:
    """The operator sees success and one new revision.

    The store takes the change, but its answer never comes. Reading back finds
    the change's own id; without it the writer would report a failure, or take
    its own change for another operator's.
    """
    fleet = make_fleet()
    fleet.world.store.lose_next = 2
    accepted = fleet.change('i1', 1, 5)
    assert isinstance(accepted, SettingsRecord)
    fleet.world.clock.advance(3)
    assert fleet.revisions() == {2}
    writes = [p for _, p in fleet.world.store.writes if p.endswith(TEAM)]
    assert len(writes) == 2


def test_a_change_in_doubt_can_be_repeated_under_its_id() -> None:
    """The operator is told "unsure" and repeats; it is applied once.

    The store takes the write, loses the answer and goes down for a minute, so
    nobody can tell. After the outage the same id finds the change in place.
    """
    fleet = make_fleet()
    store = fleet.world.store
    store.lose_next = 2
    fleet.world.network.on_send = None
    task = fleet.world.clock.spawn(
        fleet._change, 'i1', 1, 5, {'change_id': 'spring'}
    )
    fleet.world.clock.run_until(lambda: store.lose_next == 0)
    store.outage = True
    fleet.world.clock.run_until(task.ready, 60)
    unsure = task.get(block=False)
    assert isinstance(unsure, SettingsUnsureError)
    assert 'spring' in unsure.remedy
    store.outage = False
    repeated = fleet.change('i2', 1, 5, change_id='spring')
    assert isinstance(repeated, SettingsRecord)
    assert repeated.revision == 2
