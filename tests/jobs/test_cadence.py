"""When a trainer's next step is to be expected."""

from guavagate.jobs._cadence import Cadence


def test_steps_on_time_show_the_period() -> None:
    """Steps 0 to 2 come each four seconds; step 3 is due at twelve."""
    cadence = Cadence()
    assert cadence.predict_next() is None
    for step, at in ((0, 0), (1, 4.1), (2, 8.0)):
        cadence.observe(step, at)
    assert cadence.predict_next() == 12


def test_a_trainer_that_catches_up_does_not_shorten_it() -> None:
    """Step 2 is late, and step 3 follows half a second after it.

    Both are later than their schedule; the difference between them says
    nothing of it.
    """
    cadence = Cadence()
    for step, at in ((0, 0), (1, 4.0), (2, 13.0), (3, 13.5)):
        cadence.observe(step, at)
    assert cadence.predict_next() == 16


def test_one_that_takes_over_learns_from_what_it_finds() -> None:
    """An owner that starts in the middle sees steps in any order."""
    cadence = Cadence()
    for step, at in ((7, 28.0), (6, 24.0), (8, 32.0)):
        cadence.observe(step, at)
    assert cadence.predict_next() == 36
