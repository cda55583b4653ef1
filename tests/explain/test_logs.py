"""Tests of tracing a request through the logs of several instances."""

from click.testing import CliRunner

from guavagate.cli import main
from guavagate.explain.logs import read_lines, render_trace, trace_subject

_ENTRY = """
{"time":10.0,"level":"INFO","event":"GG9001","text":"accepted","job":"j1"}
not json
{"time":10.5,"level":"INFO","event":"GG8010","text":"x","request":"r1"}
"""
_OWNER = """
  0.1 worker-1 {"time":10.1,"event":"GG9005","text":"owned","job":"j1"}
  0.2 worker-1 {"time":10.2,"event":"GG3003","text":"dead","instance":"b"}
  0.9 worker-1 {"time":10.9,"event":"GG9004","text":"ended","job":"j1"}
  9.9 worker-1 {"time":99.0,"event":"GG3003","text":"dead","instance":"c"}
{"time":10.3,"event":
"""


def test_lines_of_several_instances_are_sorted_by_time() -> None:
    """Concurrent cluster events stand between a job's own lines."""
    lines = [
        *read_lines('entry-1', _ENTRY.splitlines()),
        *read_lines('worker.log', _OWNER.splitlines()),
    ]
    trace = trace_subject('j1', lines)
    assert [line.event for line in trace] == [
        'GG9001',
        'GG9005',
        'GG3003',
        'GG9004',
    ]
    shown = render_trace(trace)
    assert 'entry-1' in shown[0]
    assert 'worker-1' in shown[1]
    assert 'instance=b' in shown[2]


def test_the_command_reads_files_and_fails_without_a_match(
    tmp_path: object,
) -> None:
    """An id that no line names yields an error with a remedy."""
    path = f'{tmp_path}/entry.log'
    with open(path, 'w', encoding='utf-8') as file:
        file.write(_ENTRY)
    runner = CliRunner()
    found = runner.invoke(main, ['explain', 'r1', path])
    assert found.exit_code == 0
    assert 'request=r1' in found.output
    missing = runner.invoke(main, ['explain', 'r9', path])
    assert missing.exit_code != 0
    assert 'give the logs of all instances' in missing.output
