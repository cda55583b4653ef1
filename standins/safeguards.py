"""Removes one safeguard at a time and runs the test that has to fail.

Run by ``script/safeguards``. Each row edits a copy of the checkout, never the
checkout itself, and passes when its test fails there. If the test still passes,
either it checks too little or the safeguard is not needed.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import click

from standins._safeguard_admission import ADMISSION_SAFEGUARDS
from standins._safeguard_answers import ANSWER_SAFEGUARDS
from standins._safeguard_bytes import BYTES_SAFEGUARDS
from standins._safeguard_capacity import CAPACITY_SAFEGUARDS
from standins._safeguard_evacuation import EVACUATION_SAFEGUARDS
from standins._safeguard_failover import FAILOVER_SAFEGUARDS
from standins._safeguard_input import INPUT_SAFEGUARDS
from standins._safeguard_jobs import JOB_SAFEGUARDS
from standins._safeguard_recovery import RECOVERY_SAFEGUARDS
from standins._safeguard_residency import RESIDENCY_SAFEGUARDS
from standins._safeguard_routing import ROUTING_SAFEGUARDS
from standins._safeguard_rows import PLATFORM_SAFEGUARDS, Safeguard
from standins._safeguard_stops import STOP_SAFEGUARDS
from standins._safeguard_teams import TEAM_SAFEGUARDS
from standins._safeguard_texts import TEXT_SAFEGUARDS
from standins._safeguard_warmup import WARMUP_SAFEGUARDS
from standins._safeguard_zones import ZONE_SAFEGUARDS

SAFEGUARDS: Final = (
    *PLATFORM_SAFEGUARDS,
    *ANSWER_SAFEGUARDS,
    *INPUT_SAFEGUARDS,
    *JOB_SAFEGUARDS,
    *RECOVERY_SAFEGUARDS,
    *FAILOVER_SAFEGUARDS,
    *STOP_SAFEGUARDS,
    *TEAM_SAFEGUARDS,
    *CAPACITY_SAFEGUARDS,
    *TEXT_SAFEGUARDS,
    *ROUTING_SAFEGUARDS,
    *ADMISSION_SAFEGUARDS,
    *WARMUP_SAFEGUARDS,
    *EVACUATION_SAFEGUARDS,
    *RESIDENCY_SAFEGUARDS,
    *BYTES_SAFEGUARDS,
    *ZONE_SAFEGUARDS,
)
ROOT: Final = pathlib.Path(__file__).parents[1]
_TEST_SECONDS: Final = 120
# pytest's exit code if tests failed; others mean that it could not run them.
_FAILED: Final = 1


def find_stale(safeguard: Safeguard) -> str:
    """Return why a row does not match the code, or an empty string."""
    if not (ROOT / safeguard.test).exists():
        return f'{safeguard.test} does not exist'
    count = (ROOT / safeguard.file).read_text().count(safeguard.text)
    if count != 1:
        return f'{safeguard.file} contains the text {count} times'
    return ''


def is_caught(safeguard: Safeguard) -> bool:
    """Return whether the test fails without the safeguard."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / 'copy'
        shutil.copytree(
            ROOT, copy, ignore=shutil.ignore_patterns('.*', 'target', 'journal')
        )
        path = copy / safeguard.file
        edited = path.read_text().replace(safeguard.text, safeguard.replacement)
        path.write_text(edited)
        completed = subprocess.run(
            [sys.executable, '-m', 'pytest', '-qx', safeguard.test],
            cwd=copy,
            env={'PATH': '/usr/bin:/bin', 'PYTHONPATH': str(copy)},
            capture_output=True,
            timeout=_TEST_SECONDS,
            check=False,
        )
    return completed.returncode == _FAILED


@click.command()
@click.option(
    '--jobs', default=2, show_default=True, help='Rows to run in parallel.'
)
def main(jobs: int) -> None:
    """Remove each safeguard on a copy; exit with 1 if a test misses one."""
    with ThreadPoolExecutor(jobs) as pool:
        caught = list(pool.map(is_caught, SAFEGUARDS))
    for safeguard, was_caught in zip(SAFEGUARDS, caught, strict=True):
        word = 'caught' if was_caught else 'MISSED'
        click.echo(f'{word}  {safeguard.name} ({safeguard.test})')
    click.echo(f'{sum(caught)} of {len(caught)} caught')
    sys.exit(not all(caught))


if __name__ == '__main__':
    main()
