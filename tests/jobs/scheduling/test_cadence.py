"""Predicting when a trainer's next step is due."""

import random

from guavagate.jobs.scheduling._cadence import Cadence


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


def test_a_late_first_step_does_not_shorten_the_period() -> None:
    """The deployment starts, and the first step is accepted two seconds late.

    With a period of the shortest time from that step, half a second would be
    missing at each step, and the trainer would seem later and later.
    """
    cadence = Cadence()
    for step in range(40):
        cadence.observe(step, 2.0 if step == 0 else 4.0 * step)
    assert cadence.count_steps_behind(156, working=True) < 0.1
    due = cadence.predict_next()
    assert due is not None
    assert abs(due - 160) < 0.2


def test_jitter_of_submissions_is_no_lateness() -> None:
    """Submissions arrive up to a tenth of a second late, the first one most."""
    rng = random.Random(5)
    cadence = Cadence()
    for step in range(200):
        jitter = 0.1 if step == 0 else rng.uniform(0, 0.1)
        cadence.observe(step, 4.0 * step + jitter)
        now = 4.0 * step + 0.1
        assert cadence.count_steps_behind(now, working=True) < 0.1


def test_lateness_is_counted_after_many_steps_on_time() -> None:
    """From step 10 on, each step is half a second later than the one before."""
    cadence = Cadence()
    for step in range(35):
        cadence.observe(step, 4.0 * step + max(step - 10, 0) / 2)
    behind = cadence.count_steps_behind(4.0 * 34 + 12, working=True)
    assert abs(behind - 3) < 0.2
