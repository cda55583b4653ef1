"""Real processes under load, killed and paused; judged by the history."""

from pathlib import Path

from standins.demo._demo import Demo
from standins.fleet import Fleet, load_plan

_SECONDS = 5.0
_PLAN = Path(__file__).with_name('fleet.toml')


def test_no_promise_breaks_when_one_is_paused_and_another_killed(
    tmp_path: Path,
) -> None:
    """Callers and a trainer work on while instances fail under them.

    One instance is paused and still believes that it holds its partitions;
    another is killed meanwhile; then the first one wakes and finds its
    requests answered elsewhere. Callers retry at other instances under the
    same keys, and the trainer presents the same cursor. Every request has one
    answer or a true refusal, no write runs twice, each sample is delivered
    once and names its versions.
    """
    fleet = Fleet(load_plan(_PLAN), tmp_path, seed=3)
    acts = ((0.2, 'pause'), (0.35, 'kill'), (0.7, 'wake'))
    try:
        summary = Demo(fleet, _SECONDS).run(4, acts)
    finally:
        fleet.kill_all()
    assert summary.has_passed(), [summary.last_line, *summary.problems]
