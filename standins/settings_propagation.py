"""Measures how fast settings changes reach all instances of a real fleet.

Changes go through random instances while one instance is killed and another is
suspended by SIGSTOP and later resumed. Each instance's decisions state when it
applied a revision; all of them read the same machine's clock.
"""

import json
import random
import signal
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import click
import gevent

from guavagate.exceptions import UpstreamError
from guavagate.models import RegionId, TeamId, ZoneId
from standins import _http
from standins.fleet import Fleet, FleetPlan, Process, TeamPlan, make_token

_TEAM: Final = TeamId('measure')
_PATH: Final = f'/v1/operators/settings/{_TEAM}'
_SETTLE_SECONDS: Final = 3.0
_TIMEOUT_SECONDS: Final = 20.0
_HEADERS: Final = {'Authorization': f'Bearer {make_token(_TEAM, "operator")}'}

# By instance name and revision: wall-clock time of applying the revision.
ApplyTimes = dict[str, dict[int, float]]


class Change:
    """An accepted change and the instances that ran at that time."""

    def __init__(
        self, revision: int, requested_at: float, running: list[str]
    ) -> None:
        self.revision = revision
        self.requested_at = requested_at
        self.accepted_at = time.time()
        self.running = running

    def find_delay(self, times: ApplyTimes) -> float:
        """Return the seconds until the last running instance applied it.

        An instance that skipped to a later revision counts with that one.
        """
        return (
            max(
                min(
                    (
                        at
                        for revision, at in times.get(name, {}).items()
                        if revision >= self.revision
                    ),
                    default=float('inf'),
                )
                for name in self.running
            )
            - self.requested_at
        )


def submit_changes(
    fleet: Fleet, count: int, pause: float, seed: int
) -> list[Change]:
    """Make changes; meanwhile kill one instance and suspend another."""
    rng = random.Random(seed)
    changes: list[Change] = []
    text = _request(fleet.instances[0], 'GET', _PATH)['toml']
    suspended: Process | None = None
    for number in range(count):
        if number == count // 5:
            fleet.kill(fleet.instances[-1])
        if number == 2 * count // 5:
            suspended = fleet.instances[-1]
            suspended.send(signal.SIGSTOP)
        if suspended is not None and number == 3 * count // 5:
            suspended.send(signal.SIGCONT)
            suspended = None
        running = [
            instance
            for instance in fleet.instances
            if instance is not suspended
        ]
        target = rng.choice(running)
        changes.append(_submit_change(target, text, number, running))
        gevent.sleep(rng.uniform(0, 2 * pause))
    return changes


def _submit_change(
    target: Process, text: str, number: int, running: list[Process]
) -> Change:
    requested_at = time.time()
    body = {
        'toml': text.replace('weight = 1.0', f'weight = {number + 2}.0', 1),
        'base': number + 1,
        'why': 'measured',
        'change_id': f'measure-{number}',
    }
    response = _request(target, 'PUT', _PATH, body)
    revision = response['change']['revision']
    return Change(
        revision, requested_at, [instance.name for instance in running]
    )


def read_times(instances: list[Process], changes: list[Change]) -> ApplyTimes:
    """Read from the decisions when each instance applied each revision."""
    times: ApplyTimes = {}
    for change in changes:
        path = f'/v1/operators/explain/settings/{_TEAM}/{change.revision}'
        for decision in _request(instances[0], 'GET', path)['decisions']:
            by_revision = times.setdefault(decision['instance'], {})
            by_revision[change.revision] = decision['at']
    return times


def measure(
    instances: int, count: int, pause: float, seed: int
) -> dict[str, Any]:
    """Run the measurement; return delays in seconds and regressions."""
    plan = FleetPlan(
        region=RegionId('region'),
        availability_zones=(ZoneId('a'), ZoneId('b'), ZoneId('c')),
        instances=instances,
        teams=(TeamPlan(team=_TEAM, weight=1.0),),
    )
    folder = Path(tempfile.mkdtemp(prefix='guavagate-spread-'))
    fleet = Fleet(plan, folder, seed)
    try:
        fleet.start(instances)
        gevent.sleep(_SETTLE_SECONDS)
        changes = submit_changes(fleet, count, pause, seed)
        gevent.sleep(_SETTLE_SECONDS)
        times = read_times(fleet.instances, changes)
    finally:
        fleet.stop()
    return _summarize(instances, changes, times)


def _summarize(
    instances: int, changes: list[Change], times: ApplyTimes
) -> dict[str, Any]:
    alive = set(times)
    for change in changes:
        # The decisions of the killed instance were only in its memory.
        change.running = [name for name in change.running if name in alive]
    delays = sorted(change.find_delay(times) for change in changes)
    return {
        'instances': instances,
        'changes': len(changes),
        'median': delays[len(delays) // 2],
        'p99': delays[int(len(delays) * 0.99) - 1],
        'longest': delays[-1],
        'accepted_median': sorted(
            change.accepted_at - change.requested_at for change in changes
        )[len(changes) // 2],
        'went_back': sum(
            _has_regressed(by_revision) for by_revision in times.values()
        ),
    }


def _has_regressed(by_revision: dict[int, float]) -> bool:
    """Return whether an instance applied an older revision after a newer."""
    ordered = sorted(by_revision, key=by_revision.__getitem__)
    return ordered != sorted(by_revision)


def _request(process: Process, method: str, path: str, body: Any = None) -> Any:
    answer = _http.send_request(
        process.addresses['http'],
        method,
        path,
        body,
        headers=_HEADERS,
        timeout=_TIMEOUT_SECONDS,
    )
    if answer.status != 200:
        raise UpstreamError(
            f'{process.name} answered {answer.status}: {answer.body!r}',
            'see the log of the instance',
        )
    return answer.decode()


@click.command()
@click.option('--instances', default=9, show_default=True)
@click.option('--changes', default=200, show_default=True)
@click.option(
    '--pause',
    default=0.2,
    show_default=True,
    help='mean seconds between changes',
)
@click.option('--seed', default=1, show_default=True)
@click.option('--json', 'as_json', is_flag=True)
def main(
    instances: int, changes: int, pause: float, seed: int, *, as_json: bool
) -> None:
    """Measure the propagation of settings changes over real processes."""
    figures = measure(instances, changes, pause, seed)
    if as_json:
        click.echo(json.dumps(figures, indent=2))
        return
    for name, figure in figures.items():
        click.echo(f'{name:<16} {figure:.4g}')


if __name__ == '__main__':
    main()
