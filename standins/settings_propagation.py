"""Measures how soon settings are in force on real instances.

Changes go through one instance after another, while one is killed and another
stopped by SIGSTOP and woken again. When a revision came into force on each
instance is read from its own decisions, by the machine's one clock.
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
_SETTLE: Final = 3.0
_TIMEOUT: Final = 20.0
_HEADERS: Final = {'Authorization': f'Bearer {make_token(_TEAM, "operator")}'}

# By instance: the wall-clock time at which it had each revision in force.
Times = dict[str, dict[int, float]]


class Change:
    """One accepted change, and the instances that ran meanwhile."""

    def __init__(self, revision: int, asked: float, running: list[str]) -> None:
        self.revision = revision
        self.asked = asked
        self.accepted = time.time()
        self.running = running

    def find_delay(self, times: Times) -> float:
        """Return the seconds until the last running instance had it.

        An instance that went on to a later revision at once counts by that.
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
            - self.asked
        )


def make_changes(
    fleet: Fleet, count: int, pause: float, seed: int
) -> list[Change]:
    """Make changes; kill one instance and stop another on the way."""
    dice = random.Random(seed)
    changes: list[Change] = []
    text = _ask(fleet.instances[0], 'GET', _PATH)['toml']
    asleep: Process | None = None
    for number in range(count):
        if number == count // 5:
            fleet.kill(fleet.instances[-1])
        if number == 2 * count // 5:
            asleep = fleet.instances[-1]
            asleep.send(signal.SIGSTOP)
        if asleep is not None and number == 3 * count // 5:
            asleep.send(signal.SIGCONT)
            asleep = None
        running = [one for one in fleet.instances if one is not asleep]
        through = dice.choice(running)
        changes.append(_change(through, text, number, running))
        gevent.sleep(dice.uniform(0, 2 * pause))
    return changes


def _change(
    through: Process, text: str, number: int, running: list[Process]
) -> Change:
    asked = time.time()
    body = {
        'toml': text.replace('weight = 1.0', f'weight = {number + 2}.0', 1),
        'base': number + 1,
        'why': 'measured',
        'change_id': f'measure-{number}',
    }
    accepted = _ask(through, 'PUT', _PATH, body)
    revision = accepted['change']['revision']
    return Change(revision, asked, [one.name for one in running])


def read_times(instances: list[Process], changes: list[Change]) -> Times:
    """Return when each running instance had each revision in force."""
    times: Times = {}
    for change in changes:
        path = f'/v1/operators/explain/settings/{_TEAM}/{change.revision}'
        for decision in _ask(instances[0], 'GET', path)['decisions']:
            of_instance = times.setdefault(decision['instance'], {})
            of_instance[change.revision] = decision['at']
    return times


def measure(
    instances: int, count: int, pause: float, seed: int
) -> dict[str, Any]:
    """Return the delays, in seconds, and what was late or went back."""
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
        gevent.sleep(_SETTLE)
        changes = make_changes(fleet, count, pause, seed)
        gevent.sleep(_SETTLE)
        times = read_times(fleet.instances, changes)
    finally:
        fleet.stop()
    return _sum_up(instances, changes, times)


def _sum_up(
    instances: int, changes: list[Change], times: Times
) -> dict[str, Any]:
    alive = set(times)
    for change in changes:
        # What the killed one had in its memory is gone with it.
        change.running = [name for name in change.running if name in alive]
    delays = sorted(change.find_delay(times) for change in changes)
    return {
        'instances': instances,
        'changes': len(changes),
        'median': delays[len(delays) // 2],
        'p99': delays[int(len(delays) * 0.99) - 1],
        'longest': delays[-1],
        'accepted_median': sorted(
            change.accepted - change.asked for change in changes
        )[len(changes) // 2],
        'went_back': sum(_goes_back(one) for one in times.values()),
    }


def _goes_back(of_instance: dict[int, float]) -> bool:
    """Tell whether an instance had a lower revision after a higher one."""
    ordered = sorted(of_instance, key=of_instance.__getitem__)
    return ordered != sorted(of_instance)


def _ask(process: Process, method: str, path: str, body: Any = None) -> Any:
    answer = _http.send_request(
        process.addresses['http'],
        method,
        path,
        body,
        headers=_HEADERS,
        timeout=_TIMEOUT,
    )
    if answer.status != 200:
        raise UpstreamError(
            f'{process.name} answered {answer.status}: {answer.body!r}',
            'see its log',
        )
    return answer.decode()


@click.command()
@click.option('--instances', default=9, show_default=True)
@click.option('--changes', default=200, show_default=True)
@click.option('--pause', default=0.2, show_default=True, help='mean, seconds')
@click.option('--seed', default=1, show_default=True)
@click.option('--json', 'as_json', is_flag=True)
def main(
    instances: int, changes: int, pause: float, seed: int, *, as_json: bool
) -> None:
    """Measure settings in force on real processes."""
    figures = measure(instances, changes, pause, seed)
    if as_json:
        click.echo(json.dumps(figures, indent=2))
        return
    for name, figure in figures.items():
        click.echo(f'{name:<16} {figure:.4g}')


if __name__ == '__main__':
    main()
