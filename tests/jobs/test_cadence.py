"""Predicting when a trainer's next step is due."""

from guavagate.jobs._cadence import Cadence


def test_period_is_learned_from_steps_on_time() -> None:
    """Steps 0 to 2 arrive every four seconds; step 3 is due at twelve."""
    cadence = Cadence()
    assert cadence.predict_next() is None
    for step, at in ((0, 0), (1, 4.1), (2, 8.0)):
        cadence.observe(step, at)
    assert cadence.predict_next() == 12


def test_catching_up_does_not_shorten_the_period() -> None:
    """Step 2 is late, and step 3 follows half a second after it.

    Both are late, so the time between them says nothing about the period.
    """
    cadence = Cadence()
    for step, at in ((0, 0), (1, 4.0), (2, 13.0), (3, 13.5)):
        cadence.observe(step, at)
    assert cadence.predict_next() == 16


def test_period_is_learned_from_steps_in_any_order() -> None:
    """A new job owner reads the open steps in any order."""
    cadence = Cadence()
    for step, at in ((7, 28.0), (6, 24.0), (8, 32.0)):
        cadence.observe(step, at)
    assert cadence.predict_next() == 36


def test_steps_behind_are_counted_from_the_schedule() -> None:
    """Step 3 comes two seconds, half a period, after it was due."""
    cadence = Cadence()
    for step, at in ((0, 0), (1, 4.0), (2, 8.0), (3, 14.0)):
        cadence.observe(step, at)
    assert cadence.count_steps_behind(14.5, working=True) == 0.5
    assert cadence.count_steps_behind(22.0, working=True) == 1.5


def test_a_trainer_that_has_stopped_is_not_behind() -> None:
    """It submits nothing more; its models keep no capacity for catching up."""
    cadence = Cadence()
    for step, at in ((0, 0), (1, 4.0), (2, 10.0)):
        cadence.observe(step, at)
    assert cadence.count_steps_behind(13.0, working=False) == 0.5
    assert cadence.count_steps_behind(60.0, working=False) == 0


def test_a_new_owner_knows_how_far_a_trainer_is_behind() -> None:
    """It reads the jobs of the store in any order, the newest one first."""
    cadence = Cadence()
    for step, at in ((3, 18.0), (1, 4.0), (2, 8.0), (0, 0)):
        cadence.observe(step, at)
    assert cadence.predict_next() == 16
    assert cadence.count_steps_behind(18.0, working=True) == 1.5


def test_without_a_period_no_trainer_is_behind() -> None:
    """A single step tells nothing about the schedule."""
    cadence = Cadence()
    assert cadence.count_steps_behind(5, working=True) == 0
    cadence.observe(4, 1)
    assert cadence.count_steps_behind(5, working=True) == 0
