"""Measures the bytes between zones of reads of jobs, by kind of message.

Run as ``python -m tests.jobs.measure_pages``. Instances of three zones run and
read jobs over the real messages and a fake network; the samplers are fakes.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import click

from guavagate.jobs import JobId
from guavagate.models import InstanceId
from tests.jobs.fleet import JobFleet, make_job
from tests.jobs.samplers import SERVICE

_EVENTS: Final = 19
_EVENT_BYTES: Final = 400


class _Measurement:
    """Submits and reads jobs, and counts bytes within and between zones."""

    def __init__(self, instances: int) -> None:
        self.random = random.Random(1)
        self.fleet = JobFleet(
            [f'i{number}' for number in range(instances)],
            _EVENTS,
            samplers='vwxyzVWXYZ',
        )
        self.names = list(self.fleet.nodes)
        for node in self.fleet.nodes.values():
            node.samplers.padding = ''.join(
                self.random.choices('abcdefgh ijkl', k=_EVENT_BYTES)
            )
        self.near: Counter[str] = Counter()
        self.far: Counter[str] = Counter()
        network, peers = self.fleet.world.network, self.fleet.world.peers
        transmit = network.transmit

        def count(
            source: InstanceId,
            target: InstanceId,
            kind: str,
            size: int,
            arrive: Callable[[], None],
        ) -> bool:
            zones = {peers[each].availability_zone for each in (source, target)}
            (self.near if len(zones) == 1 else self.far)[kind] += size
            return transmit(source, target, kind, size, arrive)

        network.transmit = count  # type: ignore[method-assign]

    def run_job(self, name: str, items: int, reads: int, ends: int) -> int:
        """Run and read one job; return the size of its texts."""
        fleet = self.fleet
        fleet.submit(make_job(name, items // 8, 8), self.pick())
        after, size = 0, 0
        while after < items:
            page = self.call('read', name, after)[1]
            size += sum(len(each.text) for each in page.results)
            after = page.next
            fleet.clock.advance(0.5)
        for _ in range(ends):
            self.call('exists', name)
        for _ in range(reads):
            self.call('read', name, self.random.randrange(items))
        fleet.nodes[fleet.owner()].owner._active_jobs.end(JobId(name))
        return size

    def pick(self) -> str:
        """Return a random instance, as the balancer does."""
        return self.random.choice(self.names)

    def call(self, method: str, name: str, after: int | None = None) -> Any:
        """Call a reader at a random instance."""
        node = self.fleet.nodes[self.pick()]
        position = [] if after is None else [after, 0]
        run = getattr(node.reader, method)
        task = node.clock.spawn(run, [SERVICE], JobId(name), *position)
        self.fleet.clock.run_until(task.ready, 5)
        return task.get(block=False)


@click.command()
@click.option('--instances', default=36)
@click.option('--jobs', default=6)
@click.option('--items', default=96)
@click.option('--reads', default=6)
@click.option('--ends', default=4)
def main(
    instances: int,
    jobs: int,
    items: int,
    reads: int,
    ends: int,
) -> None:
    """Print the bytes by message, in kilobytes and relative to the texts."""
    measured = _Measurement(instances)
    owner = InstanceId(measured.fleet.owner())
    size = sum(
        measured.run_job(f'job-{number}', items, reads, ends)
        for number in range(jobs)
    )
    click.echo(f'texts {size / 1000:.0f} kB, owner {owner}')
    for kind in sorted(measured.near | measured.far):
        far, near = measured.far[kind], measured.near[kind]
        click.echo(
            f'{kind:24} between zones {far / 1000:8.0f} kB'
            f' ({far / size:5.2f}), within {near / 1000:8.0f} kB'
        )


if __name__ == '__main__':
    main()
