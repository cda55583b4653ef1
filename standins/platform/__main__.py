"""Runs the soak; ``script/soak``."""

import pathlib
import sys
import tempfile
from typing import Final

import click
import gevent

from standins.platform.soak import Soak

# Each seed has loopback addresses of its own, 127.0.BLOCK.x.
FIRST_BLOCK: Final = 10
BLOCKS: Final = 240
_SHOWN: Final = 10
# Seeds that failed once, and why; docs/soak.md tells more.
REGRESSIONS: Final = {
    3: 'a stop left a connection that it had not accepted to be reset',
    104: 'the harness waited for the successor of a stopped process',
    107: 'a second SIGTERM ended a planned stop at once',
    108: 'a stop closed a connection with a request unread on it',
    122: 'the harness waited for the successor of a stopped process',
    203: 'the harness waited for the successor of a stopped process',
}


@click.command()
@click.option('--seed', default=1, show_default=True, help='The first seed.')
@click.option('--seeds', default=1, show_default=True, help='How many seeds.')
@click.option(
    '--seconds', default=40, show_default=True, help='Of faults, each seed.'
)
@click.option('--jobs', default=2, show_default=True, help='Seeds at once.')
@click.option(
    '--regressions', is_flag=True, help='Run the seeds that once failed.'
)
def main(
    seed: int, seeds: int, seconds: int, jobs: int, regressions: bool
) -> None:
    """Run the soak; exit with 1 when a promise was broken."""
    waiting = list(range(seed, seed + seeds))
    if regressions:
        waiting = list(REGRESSIONS)
    broken: list[int] = []

    def work() -> None:
        while waiting:
            number = waiting.pop(0)
            if _run(number, seconds):
                broken.append(number)

    tasks = [gevent.spawn(work) for _ in range(jobs)]
    gevent.joinall(tasks, raise_error=True)
    if broken:
        sys.exit(1)


def _run(seed: int, seconds: int) -> int:
    """Run one seed; return how many violations it showed."""
    block = FIRST_BLOCK + seed % BLOCKS
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, block, pathlib.Path(folder))
        verdict = soak.run(seconds)
    click.echo(
        f'seed {seed}: {verdict.checked} checks,'
        f' {len(soak.journal.orders)} orders,'
        f' {len(verdict.violations)} violations'
    )
    for violation in verdict.violations[:_SHOWN]:
        click.echo(f'  {violation[:300]}')
    return len(verdict.violations)


if __name__ == '__main__':
    main()
