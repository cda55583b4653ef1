"""Tests of reading usage windows from the logs of two reporters."""

import pathlib

from click.testing import CliRunner

from guavagate.cli import main
from guavagate.explain.logs import read_lines
from guavagate.explain.usage import read_windows

# The first reporter closes window 7 and fails while it sends the report. The
# other one reports it late, then window 8 in time. Window 6 was not counted.
_FIRST = """
{"time":42.0,"event":"GG9202","window":7,"requests":3,"teams":2,"found":false}
{"time":42.1,"event":"GG9204","window":7,"after":2.1,"answer":"unknown"}
"""
_SECOND = """
{"time":51.9,"event":"GG9206","window":6}
{"time":52.0,"event":"GG9202","window":7,"requests":3,"teams":2,"found":true}
{"time":52.1,"event":"GG9203","window":7,"after":12.1,"answer":"taken"}
{"time":52.3,"event":"GG9202","window":8,"requests":0,"teams":0,"found":false}
{"time":52.4,"event":"GG9203","window":8,"after":7.4,"answer":"taken"}
"""


def test_a_window_lists_its_reporters_and_time() -> None:
    """A window that was sent again is reported once it was accepted."""
    lines = [
        *read_lines('a', _FIRST.splitlines()),
        *read_lines('b', _SECOND.splitlines()),
    ]
    lost, late, good = read_windows(lines)
    assert (lost.window, lost.outcome, lost.requests) == (
        6,
        'not counted',
        None,
    )
    assert (late.outcome, late.after, late.holders) == (
        'reported',
        12.1,
        ['a', 'b'],
    )
    assert [each.is_late(10) for each in (lost, late, good)] == [
        True,
        True,
        False,
    ]


def test_the_command_prints_one_row_per_window(tmp_path: pathlib.Path) -> None:
    """Each row shows the outcome and whether the report was late."""
    log = tmp_path / 'worker-2.log'
    log.write_text(_SECOND)
    result = CliRunner().invoke(main, ['usage', str(log)])
    assert result.exit_code == 0
    assert 'reported, late' in result.output
    assert result.output.count('worker-2.log') == 3


def test_logs_without_a_window_name_the_remedy(tmp_path: pathlib.Path) -> None:
    """The log of an entry has no usage windows."""
    log = tmp_path / 'entry.log'
    log.write_text('{"time":1,"event":"GG8001","version":2}\n')
    result = CliRunner().invoke(main, ['usage', str(log)])
    assert 'logs of all workers' in result.output
