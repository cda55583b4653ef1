"""Command line of the soak test, run by ``script/soak``."""

import pathlib
import shutil
import sys
import tempfile
from collections.abc import Callable
from typing import Final

import click
import gevent

from standins.platform.addresses import AddressBlock
from standins.platform.soak import Soak

Command = Callable[..., None]

_SHOWN: Final = 10
# Seeds that failed in the past and the causes; see docs/soak.md.
REGRESSIONS: Final = {
    3: 'a planned stop reset a connection that was not yet accepted',
    104: 'the test waited for the replacement of a stopped process',
    107: 'a second SIGTERM ended a planned stop at once',
    108: 'a planned stop closed a connection with an unread request',
    122: 'the test waited for the replacement of a stopped process',
    203: 'the test waited for the replacement of a stopped process',
    3129: 'ends that a hub passed on late counted twice',
    3138: 'ends that a hub passed on late counted twice',
}


def _add_seed_options(command: Command) -> Command:
    first = click.option(
        '--seed', default=1, show_default=True, help='First seed.'
    )
    count = click.option(
        '--seeds', default=1, show_default=True, help='Number of seeds.'
    )
    return first(count(command))


def _add_output_options(command: Command) -> Command:
    jobs = click.option(
        '--jobs', default=2, show_default=True, help='Seeds to run in parallel.'
    )
    logs = click.option(
        '--logs',
        type=click.Path(path_type=pathlib.Path, file_okay=False),
        help='Folder that gets the logs of seeds with violations.',
    )
    return jobs(logs(command))


@click.command()
@_add_seed_options
@click.option(
    '--seconds',
    default=40,
    show_default=True,
    help='Duration of faults per seed.',
)
@_add_output_options
@click.option(
    '--regressions', is_flag=True, help='Run the seeds that failed before.'
)
@click.option(
    '--calm',
    is_flag=True,
    help='Inject no faults but a request that crashes samplers.',
)
def main(
    seed: int,
    seeds: int,
    seconds: int,
    jobs: int,
    regressions: bool,
    calm: bool,
    logs: pathlib.Path | None,
) -> None:
    """Run the soak test; exit with 1 if there were violations."""
    waiting = list(range(seed, seed + seeds))
    if regressions:
        waiting = list(REGRESSIONS)
    broken: list[int] = []

    def work() -> None:
        while waiting:
            number = waiting.pop(0)
            if _run(number, seconds, logs, calm=calm):
                broken.append(number)

    tasks = [gevent.spawn(work) for _ in range(jobs)]
    gevent.joinall(tasks, raise_error=True)
    if broken:
        sys.exit(1)


def _run(
    seed: int, seconds: int, logs: pathlib.Path | None, *, calm: bool
) -> int:
    """Run one seed and return the number of violations."""
    block = AddressBlock(seed)
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, block.number, pathlib.Path(folder))
        verdict = soak.run(seconds, calm=calm)
        if logs is not None and verdict.violations:
            shutil.copytree(folder, logs / str(seed), dirs_exist_ok=True)
    block.release()
    click.echo(
        f'seed {seed}: {verdict.checked} checks,'
        f' {len(soak.journal.orders)} orders,'
        f' {len(verdict.violations)} violations'
    )
    counts = verdict.count_by_rule()
    if len(counts) > 1:
        by_rule = ', '.join(f'{rule} {count}' for rule, count in counts.items())
        click.echo(f'  {by_rule}')
    for violation in verdict.list_examples(_SHOWN):
        click.echo(f'  {violation[:300]}')
    return len(verdict.violations)


if __name__ == '__main__':
    main()
