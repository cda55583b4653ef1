"""What held a step up, out of the lines of entries and owners."""

import pathlib

import pytest
from click.testing import CliRunner

from guavagate.cli import main
from guavagate.explain.logs import read_lines
from guavagate.explain.steps import Phase, Step, measure_phases, read_steps

# Two groups of one item. The first one's text is whole at once and its reward
# comes 3 s later; the other one's sampler breaks, and it is never listed.
_LOG = """
{"time":10.1,"event":"GG9001","job":"j","step":4,"items":2,"seconds":0.1}
{"time":10.2,"event":"GG9005","job":"j","step":4,"model":"m","objective":2.5,"wanted":1}
{"time":10.3,"event":"GG9010","job":"j","item":"a","group":"g1","sampler":"s1"}
{"time":10.3,"event":"GG9010","job":"j","item":"b","group":"g2","sampler":"s1"}
{"time":10.8,"event":"GG9011","job":"j","item":"b","sampler":"s1","problem":"silent"}
{"time":10.8,"event":"GG9018","job":"j","item":"a","reward":"w-a"}
{"time":10.9,"event":"GG9010","job":"j","item":"b","group":"g2","sampler":"s2"}
{"time":11.8,"event":"GG9020","job":"j","item":"a","reason":"none took it"}
{"time":13.8,"event":"GG9012","job":"j","item":"a"}
{"time":13.9,"event":"GG9013","job":"j","added":1}
{"time":14.0,"event":"GG9004","job":"j"}
"""


@pytest.fixture
def step() -> Step:
    """Return the step that the lines tell of."""
    return read_steps(read_lines('worker-1', _LOG.splitlines()))[0]


def test_a_groups_critical_path_is_its_last_items(step: Step) -> None:
    """Its phases add up to the time from the submission to the listing."""
    first, last = step.find_critical()
    phases = measure_phases(step, first)
    assert phases[Phase.REWARD] == pytest.approx(3.0)
    assert sum(phases.values()) == pytest.approx(13.9 - 10.0)
    assert (first.group, last.group, last.listed) == ('g1', 'g2', None)
    assert last.runs == 2


def test_the_command_names_what_held_each_late_group_up(
    tmp_path: pathlib.Path,
) -> None:
    """The reward of one, a silent sampler of the other; and a plot."""
    log = tmp_path / 'worker.log'
    log.write_text(_LOG)
    plot = tmp_path / 'steps.png'
    told = CliRunner().invoke(
        main, ['explain', 'steps', str(log), '--plot', str(plot)]
    )
    assert told.exit_code == 0, told.output
    assert 'step 4 of m, job j: 1 of 2 groups listed' in told.output
    assert 'group g1 item a late, most for the reward' in told.output
    assert 'none took it' in told.output
    assert 'group g2 item b never listed' in told.output
    assert 'silent' in told.output
    assert plot.stat().st_size > 1000


def test_logs_without_a_step_are_told_so(tmp_path: pathlib.Path) -> None:
    """The remedy is in the message."""
    log = tmp_path / 'entry.log'
    log.write_text('nothing\n')
    told = CliRunner().invoke(main, ['explain', 'steps', str(log)])
    assert told.exit_code == 1
    assert 'give the logs of all instances' in told.output
