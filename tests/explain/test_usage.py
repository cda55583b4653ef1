"""What became of usage windows, out of the lines of two reporters."""

import pathlib

from click.testing import CliRunner

from guavagate.cli import main
from guavagate.explain.logs import read_lines
from guavagate.explain.usage import read_windows

# The first reporter fixes window 7 and is lost while it reports; the other one
# reports it late, then window 8 in time. Nobody counted window 6.
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


def test_each_window_tells_who_reported_it_and_when() -> None:
    """What was sent again counts as reported once it was taken."""
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


def test_the_tool_shows_a_row_a_window(tmp_path: pathlib.Path) -> None:
    """An operator sees at a glance which one was late."""
    log = tmp_path / 'worker-2.log'
    log.write_text(_SECOND)
    shown = CliRunner().invoke(main, ['usage', str(log)])
    assert shown.exit_code == 0
    assert 'reported, late' in shown.output
    assert shown.output.count('worker-2.log') == 3


def test_logs_without_a_window_say_what_to_give(tmp_path: pathlib.Path) -> None:
    """An entry's log has none."""
    log = tmp_path / 'entry.log'
    log.write_text('{"time":1,"event":"GG8001","version":2}\n')
    shown = CliRunner().invoke(main, ['usage', str(log)])
    assert 'logs of all workers' in shown.output
