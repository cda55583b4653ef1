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
