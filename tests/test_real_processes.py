"""Tests of a fleet of real processes under load, with kills and pauses."""

from pathlib import Path

from standins.demo._demo import Demo
from standins.fleet import Fleet, load_plan

_SECONDS = 5.0
_PLAN = Path(__file__).with_name('fleet.toml')


def test_guarantees_hold_while_instances_are_paused_and_killed(
    tmp_path: Path,
) -> None:
    """A resumed instance must not act on partitions that it lost.

    One instance is paused, another is killed meanwhile, and the first resumes
    while it still believes that it owns its partitions; its requests were
    answered elsewhere. Callers retry at other instances with the same keys,
    and the trainer sends the same cursor. Every request gets one answer or a
    correct refusal, no write runs twice, and each sample is delivered once and
    names its versions.
    """
    fleet = Fleet(load_plan(_PLAN), tmp_path, seed=3)
    acts = ((0.2, 'pause'), (0.35, 'kill'), (0.7, 'wake'))
    try:
        summary = Demo(fleet, _SECONDS).run(4, acts)
    finally:
        fleet.kill_all()
    assert summary.has_passed(), [summary.last_line, *summary.problems]
