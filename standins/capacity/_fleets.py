"""Idle fleets to measure: complete instances, or the membership only."""

import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final, Protocol

import gevent
import msgspec

from guavagate.models import InstanceId, RegionId, ZoneId
from guavagate.settings import (
    InstanceSettings,
    PeerSettings,
    PlatformSettings,
    render_settings,
)
from standins import _http
from standins.capacity._figures import Reading, measure_cpu
from standins.fleet import Fleet, FleetPlan
from standins.fleet._process import find_free_address

# The two regions that the project is designed for have seven zones.
ZONES: Final = tuple(ZoneId(f'zone-{number}') for number in range(7))
_REGION: Final = RegionId('measure')
_NODE: Final = 'standins.capacity._node'
_SEEDS: Final = 3


class MeasuredFleet(Protocol):
    """Processes that discover each other and then are idle."""

    module: str
    pids: list[int]

    def start(self, nodes: int) -> None:
        """Start the processes."""

    def has_converged(self) -> bool:
        """Return whether all processes see each other."""

    def read(self) -> Reading:
        """Return the current totals."""

    def stop(self) -> None:
        """Stop the processes."""


class MembershipFleet:
    """Processes that run only the bus and the membership."""

    def __init__(self) -> None:
        self.module = _NODE
        self.pids: list[int] = []
        self._folder = Path(tempfile.mkdtemp(prefix='guavagate-capacity-'))
        self._nodes: list[subprocess.Popen[str]] = []

    def start(self, nodes: int) -> None:
        """Start the processes, each with the first three as seeds."""
        peers = [_make_peer(number) for number in range(nodes)]
        for peer in peers:
            path = self._folder / f'{peer.id}.toml'
            path.write_text(render_settings(_make_settings(peer, peers)))
            self._start(str(path))

    def has_converged(self) -> bool:
        """Return whether all processes see each other."""
        return self.all_see_alive(len(self._nodes))

    def all_see_alive(self, alive: int) -> bool:
        """Return whether each process sees this number of members alive."""
        return all(seen['alive'] == alive for seen in self._query())

    def kill(self, index: int) -> None:
        """Kill one process."""
        self.pids.pop(index)
        node = self._nodes.pop(index)
        node.kill()
        node.wait()

    def exclude(self, index: int) -> 'MembershipFleet':
        """Return a view without one process, which may be paused."""
        others = MembershipFleet()
        others._nodes = [
            node for node in self._nodes if node is not self._nodes[index]
        ]
        return others

    def read(self) -> Reading:
        """Return the current totals."""
        before = measure_cpu(self.pids)
        seen = self._query()
        return Reading(
            time.monotonic(),
            before,
            measure_cpu(self.pids),
            sum(each['messages'] for each in seen),
            sum(each['bytes'] for each in seen),
            0,
        )

    def stop(self) -> None:
        """Stop the processes by closing their standard input."""
        for node in self._nodes:
            if node.stdin is not None:
                node.stdin.close()
        for node in self._nodes:
            node.wait(10)

    def _start(self, argument: str) -> None:
        node = subprocess.Popen(
            [sys.executable, '-m', _NODE, argument],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._nodes.append(node)
        self.pids.append(node.pid)

    def _query(self) -> list[dict[str, Any]]:
        for node in self._nodes:
            assert node.stdin is not None
            node.stdin.write('\n')
            node.stdin.flush()
        answers = []
        for node in self._nodes:
            assert node.stdout is not None
            answers.append(json.loads(node.stdout.readline()))
        return answers


class DaemonFleet:
    """Complete instances with the platform's stand-in and no teams."""

    def __init__(self) -> None:
        self.module = 'guavagate.daemon'
        self.pids: list[int] = []
        plan = FleetPlan(region=_REGION, availability_zones=ZONES)
        folder = Path(tempfile.mkdtemp(prefix='guavagate-capacity-'))
        self._fleet = Fleet(plan, folder, 1)

    def start(self, nodes: int) -> None:
        """Start the platform and the instances."""
        self._fleet.start(nodes)
        self.pids = [process.pid for process in self._fleet.instances]

    def has_converged(self) -> bool:
        """Return whether all processes see each other."""
        count = len(self._fleet.instances)
        return all(
            _scrape(process.addresses['http']).get('guavagate_members') == count
            for process in self._fleet.instances
        )

    def read(self) -> Reading:
        """Return the current totals."""
        before = measure_cpu(self.pids)
        seen = [
            _scrape(process.addresses['http'])
            for process in self._fleet.instances
        ]
        answer = _http.send_request(
            self._fleet.platform, 'GET', '/control/calls'
        )
        calls = msgspec.json.decode(answer.body, type=dict[str, int])
        return Reading(
            time.monotonic(),
            before,
            measure_cpu(self.pids),
            sum(each['guavagate_peer_messages_total'] for each in seen),
            sum(each['guavagate_peer_bytes_total'] for each in seen),
            sum(calls.values()),
        )

    def stop(self) -> None:
        """Stop all processes."""
        self._fleet.stop()


def wait_until_converged(fleet: MeasuredFleet, limit: float) -> bool:
    """Wait until all processes see each other; return False on timeout."""
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if fleet.has_converged():
            return True
        gevent.sleep(1)
    return False


def _scrape(address: str) -> dict[str, float]:
    """Return the metrics of an instance, summed over their labels."""
    text = _http.send_request(address, 'GET', '/metrics').body.decode()
    totals: dict[str, float] = {}
    for line in text.splitlines():
        if line and not line.startswith('#'):
            name, _, number = line.rpartition(' ')
            name = name.partition('{')[0]
            totals[name] = totals.get(name, 0) + float(number)
    return totals


def _make_peer(number: int) -> PeerSettings:
    return PeerSettings(
        id=InstanceId(f'instance-{number}'),
        availability_zone=ZONES[number % len(ZONES)],
        region=_REGION,
        peer_address=find_free_address(),
        http_address='127.0.0.1:1',
    )


def _make_settings(
    peer: PeerSettings, peers: list[PeerSettings]
) -> InstanceSettings:
    seeds = [each for each in peers if each.id != peer.id]
    return InstanceSettings(
        id=peer.id,
        availability_zone=peer.availability_zone,
        region=peer.region,
        peer_address=peer.peer_address,
        http_address=peer.http_address,
        platform=PlatformSettings(object_api='http://127.0.0.1:1'),
        peers=tuple(seeds[:_SEEDS]),
    )
