"""Tests of settings changes: races, lost answers and unknown outcomes."""

from guavagate.measure.settings import TEAM
from guavagate.settings import (
    SettingsConflictError,
    SettingsRecord,
    SettingsUnsureError,
)
from tests.settings_fleet import make_fleet


def test_the_later_of_two_operators_is_refused_with_the_others_change() -> None:
    """Two changes of the same revision must not be merged or lost.

    The second change, made through another instance, is refused because its
    base is outdated. The error names who made the other change and why.
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


def test_only_one_of_two_concurrent_changes_is_accepted() -> None:
    """Both writers read revision 1 before either of them writes.

    The store accepts one write. The other writer reads again, finds a foreign
    change and reports a conflict.
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
    """A lost answer must not become a failure or a second revision.

    The writer reads the record back and recognizes its change by its id.
    Otherwise it would report a failure or a conflict with itself.
    """
    fleet = make_fleet()
    fleet.world.store.lose_next = 2
    accepted = fleet.change('i1', 1, 5)
    assert isinstance(accepted, SettingsRecord)
    fleet.world.clock.advance(3)
    assert fleet.revisions() == {2}
    writes = [p for _, p in fleet.world.store.writes if p.endswith(TEAM)]
    assert len(writes) == 2


def test_an_uncertain_change_can_be_repeated_under_its_id() -> None:
    """A repeated change with the same id is applied only once.

    The store accepts the write, loses the answer and is unavailable for a
    minute, so the outcome is unknown. After the outage a repetition with the
    same id finds the change in the store.
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
