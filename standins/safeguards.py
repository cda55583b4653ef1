"""Removes one safeguard at a time and runs the test that has to notice.

``script/safeguards``. Each row edits a copy of the checkout, never the checkout
itself, and passes when its test fails there. A test that still passes without
its safeguard proves nothing, or the safeguard is not needed.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import click

from standins._safeguard_jobs import JOB_SAFEGUARDS
from standins._safeguard_rows import PLATFORM_SAFEGUARDS, Safeguard
from standins._safeguard_teams import TEAM_SAFEGUARDS

SAFEGUARDS: Final = (
    *PLATFORM_SAFEGUARDS,
    *JOB_SAFEGUARDS,
    *TEAM_SAFEGUARDS,
)
ROOT: Final = pathlib.Path(__file__).parents[1]
_TEST_SECONDS: Final = 120
# pytest's own code for tests that ran and failed; others are accidents.
_FAILED: Final = 1


def find_stale(safeguard: Safeguard) -> str:
    """Return what a row names that is not there, or nothing."""
    if not (ROOT / safeguard.test).exists():
        return f'{safeguard.test} does not exist'
    times = (ROOT / safeguard.file).read_text().count(safeguard.text)
    if times != 1:
        return f'{safeguard.file} has its text {times} times'
    return ''


def is_caught(safeguard: Safeguard) -> bool:
    """Return whether the test fails without the safeguard."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / 'copy'
        shutil.copytree(
            ROOT, copy, ignore=shutil.ignore_patterns('.*', 'target', 'journal')
        )
        path = copy / safeguard.file
        edited = path.read_text().replace(safeguard.text, safeguard.without)
        path.write_text(edited)
        ended = subprocess.run(
            [sys.executable, '-m', 'pytest', '-qx', safeguard.test],
            cwd=copy,
            env={'PATH': '/usr/bin:/bin', 'PYTHONPATH': str(copy)},
            capture_output=True,
            timeout=_TEST_SECONDS,
            check=False,
        )
    return ended.returncode == _FAILED


@click.command()
@click.option('--jobs', default=2, show_default=True, help='Rows at once.')
def main(jobs: int) -> None:
    """Remove each safeguard on a copy; exit with 1 if one is not missed."""
    with ThreadPoolExecutor(jobs) as pool:
        noticed = list(pool.map(is_caught, SAFEGUARDS))
    for safeguard, seen in zip(SAFEGUARDS, noticed, strict=True):
        word = 'caught' if seen else 'MISSED'
        click.echo(f'{word}  {safeguard.name} ({safeguard.test})')
    click.echo(f'{sum(noticed)} of {len(noticed)} caught')
    sys.exit(not all(noticed))


if __name__ == '__main__':
    main()
