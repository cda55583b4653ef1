"""Fleets at rest whose cost is measured: whole instances, or bare parts."""

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

# The two regions of two years from now have seven.
ZONES: Final = tuple(ZoneId(f'zone-{number}') for number in range(7))
_REGION: Final = RegionId('measure')
_NODE: Final = 'standins.capacity._node'
_SEEDS: Final = 3


class MeasuredFleet(Protocol):
    """A number of processes that find each other and then rest."""

    module: str
    pids: list[int]

    def start(self, nodes: int) -> None:
        """Start the processes."""

    def agree(self) -> bool:
        """Return whether each knows all."""

    def read(self) -> Reading:
        """Return the totals now."""

    def stop(self) -> None:
        """End the processes."""


class PartsFleet:
    """Processes of nothing but the bus and the membership."""

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

    def agree(self) -> bool:
        """Return whether each knows all."""
        return self.holds(len(self._nodes))

    def holds(self, alive: int) -> bool:
        """Return whether each holds so many in use."""
        return all(seen['alive'] == alive for seen in self._ask())

    def kill(self, index: int) -> None:
        """Kill one process."""
        self.pids.pop(index)
        node = self._nodes.pop(index)
        node.kill()
        node.wait()

    def without(self, index: int) -> 'PartsFleet':
        """Return a view of the others, such as while one is paused."""
        others = PartsFleet()
        others._nodes = [
            node for node in self._nodes if node is not self._nodes[index]
        ]
        return others

    def read(self) -> Reading:
        """Return the totals now."""
        before = measure_cpu(self.pids)
        seen = self._ask()
        return Reading(
            time.monotonic(),
            before,
            measure_cpu(self.pids),
            sum(each['messages'] for each in seen),
            sum(each['bytes'] for each in seen),
            0,
        )

    def stop(self) -> None:
        """End the processes by the end of their input."""
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

    def _ask(self) -> list[dict[str, Any]]:
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
    """Whole instances with the platform's stand-in, without any team."""

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

    def agree(self) -> bool:
        """Return whether each knows all."""
        count = len(self._fleet.instances)
        return all(
            _scrape(process.addresses['http']).get('guavagate_members') == count
            for process in self._fleet.instances
        )

    def read(self) -> Reading:
        """Return the totals now."""
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
        """End all processes."""
        self._fleet.stop()


def wait_until_agreed(fleet: MeasuredFleet, limit: float) -> bool:
    """Wait until all know all; return whether they do in time."""
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if fleet.agree():
            return True
        gevent.sleep(1)
    return False


def _scrape(address: str) -> dict[str, float]:
    """Return an instance's metrics, summed over their labels."""
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
