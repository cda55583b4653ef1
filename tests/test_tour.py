"""Tests of the commands of the tour in the documentation."""

import pathlib
import re
import signal
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[1]
_PAGE = _ROOT / 'docs' / 'tour.md'
_BLOCK = re.compile(r'^```sh\n(.*?)^```$', re.DOTALL | re.M)
_SECONDS = 120


def test_each_command_of_the_tour_works(tmp_path: pathlib.Path) -> None:
    """All commands succeed and print the results that the tour describes."""
    description = tmp_path / 'fleet.json'
    command = [sys.executable, '-m', 'standins.fleet', '--instances', '3']
    command += ['--settings', 'examples/trust.toml']
    command += ['--folder', str(tmp_path / 'fleet')]
    with description.open('w') as out:
        fleet = subprocess.Popen(command, cwd=_ROOT, stdout=out)
    try:
        output = _run_tour(description)
    finally:
        fleet.send_signal(signal.SIGINT)
        fleet.wait(timeout=_SECONDS)
    assert '"samplers"' in output
    pulled = re.findall(r'"sample_id":"(first/[ab]/[0-3])"', output)
    half = len(pulled) // 2
    assert half >= 4
    assert pulled[:half] == pulled[half:]
    assert output.count('deadline_unreachable') >= 2
    assert 'because deadline_unreachable' in output


def _run_tour(description: pathlib.Path) -> str:
    """Run the page's blocks in one shell; return their output."""
    env = f'{sys.executable} -m standins.fleet.env {description}'
    script = '\n'.join(
        (
            'set -euo pipefail',
            f'variables=$({env})',
            'eval "$variables"',
            *_BLOCK.findall(_PAGE.read_text('utf-8')),
        )
    )
    completed = subprocess.run(
        ['bash', '-c', script],
        cwd=_ROOT,
        capture_output=True,
        text=True,
        timeout=_SECONDS,
        check=False,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    return completed.stdout
