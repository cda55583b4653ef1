"""Jobs in three zones, with a count of the bytes between zones."""

from collections import Counter
from collections.abc import Callable

import pytest

from guavagate.jobs import Job, JobId, LookupStatus, Result
from guavagate.jobs.records import _pages
from guavagate.models import InstanceId, TeamId
from tests.jobs.fleet import JobFleet, Node, make_job
from tests.jobs.samplers import SERVICE


class ZoneFleet(JobFleet):
    """Instances of three zones that read one job, which is complete.

    Attributes
    ----------
    crossed
        Bytes sent to another zone, by kind of message.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        names: str = 'abcdefghi',
        job: Job | None = None,
        length: int = 20,
    ) -> None:
        monkeypatch.setattr(_pages, 'SMALL_PAGE_BYTES', 100)
        super().__init__(names, length)
        self.crossed: Counter[str] = Counter()
        self.clock.advance(1)
        transmit = self.world.network.transmit

        def count(
            source: InstanceId,
            target: InstanceId,
            kind: str,
            size: int,
            arrive: Callable[[], None],
        ) -> bool:
            if self.zone_of(source) != self.zone_of(target):
                self.crossed[kind] += size
            return transmit(source, target, kind, size, arrive)

        monkeypatch.setattr(self.world.network, 'transmit', count)
        self.submit(job or make_job(), names[0])
        self.clock.advance(5)

    def zone_of(self, name: str) -> str:
        """Return an instance's zone."""
        return str(self.world.peers[InstanceId(name)].availability_zone)

    def list_zone(self, zone: str) -> list[str]:
        """Return the instances of a zone."""
        return [name for name in self.nodes if self.zone_of(name) == zone]

    def find_remote(self) -> tuple[list[str], str]:
        """Return the entries of a zone without the owner, and its cache."""
        owner = InstanceId(self.owner())
        zone = next(
            self.zone_of(name)
            for name in self.nodes
            if self.zone_of(name) != self.zone_of(owner)
        )
        names = self.list_zone(zone)
        ownership = self.nodes[names[0]].ownership
        near = ownership.find_zone_cache(owner, JobId('job-1'))
        return [name for name in names if name != near], str(near)

    def cut_zone(self, zone: str) -> None:
        """Drop all messages between a zone and the others."""
        inside = set(self.list_zone(zone))
        for name in inside:
            for other in self.nodes.keys() - inside:
                self.cut(name, other)

    def cut(self, name: str, other: str) -> None:
        """Drop all messages between two instances."""
        one, two = InstanceId(name), InstanceId(other)
        self.world.network.blocked |= {(one, two), (two, one)}

    def read_as(
        self, team: str, at: str, after: int = 0
    ) -> tuple[LookupStatus, list[Result]]:
        """Return the status and results that a team's caller gets."""
        node: Node = self.nodes[at]
        task = node.clock.spawn(
            node.reader.read,
            [SERVICE],
            JobId('job-1'),
            after,
            0,
            TeamId(team),
        )
        self.clock.run_until(task.ready, 5)
        status, page = task.get(block=False)
        if page is None:
            return status, []
        assert page.next == after + len(page.results)
        return status, page.results
