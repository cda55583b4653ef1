"""Tests of finding the critical path of a step in the logs."""

import pathlib

import pytest
from click.testing import CliRunner

from guavagate.cli import main
from guavagate.explain.logs import read_lines
from guavagate.explain.steps import Phase, Step, measure_phases, read_steps

# Two groups of one item each. The first one's text is complete at once and its
# reward arrives 3 s later. The other one's sampler fails, and it is never
# listed.
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
    """Return the step in the log."""
    return read_steps(read_lines('worker-1', _LOG.splitlines()))[0]


def test_the_critical_path_of_a_group_is_that_of_its_last_item(
    step: Step,
) -> None:
    """Its phases add up to the time from submission to listing."""
    first, last = step.find_critical()
    phases = measure_phases(step, first)
    assert phases[Phase.REWARD] == pytest.approx(3.0)
    assert sum(phases.values()) == pytest.approx(13.9 - 10.0)
    assert (first.group, last.group, last.listed) == ('g1', 'g2', None)
    assert last.runs == 2


def test_the_command_names_the_longest_phase_of_late_groups(
    tmp_path: pathlib.Path,
) -> None:
    """One waited for its reward, a sampler of the other one stalled."""
    log = tmp_path / 'worker.log'
    log.write_text(_LOG)
    plot = tmp_path / 'steps.png'
    result = CliRunner().invoke(
        main, ['explain', 'steps', str(log), '--plot', str(plot)]
    )
    assert result.exit_code == 0, result.output
    assert 'step 4 of m, job j: 1 of 2 groups listed' in result.output
    assert 'group g1 item a late, most for the reward' in result.output
    assert 'none took it' in result.output
    assert 'group g2 item b never listed' in result.output
    assert 'silent' in result.output
    assert plot.stat().st_size > 1000


def test_logs_without_a_step_are_an_error(tmp_path: pathlib.Path) -> None:
    """The message contains the remedy."""
    log = tmp_path / 'entry.log'
    log.write_text('nothing\n')
    result = CliRunner().invoke(main, ['explain', 'steps', str(log)])
    assert result.exit_code == 1
    assert 'give the logs of all instances' in result.output
