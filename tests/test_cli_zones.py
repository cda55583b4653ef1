"""Tests of `guavagate zones` against instances' metrics on loopback."""

from collections.abc import Iterator

import pytest
from click.testing import CliRunner, Result

from guavagate.cli import main
from guavagate.cli._exposition import Sample, parse_samples
from guavagate.clock import SystemClock
from guavagate.http1 import HttpServer
from guavagate.metrics import Metrics, names
from guavagate.metrics.exposition import serve_metrics
from standins.platform.addresses import AddressBlock

_SILENT_PORT = 9


class _Instances:
    """Two instances that export zone `a`, and an address without one."""

    def __init__(self, block: int) -> None:
        self.metrics = [Metrics({'instance': f'e{n}'}) for n in range(2)]
        self.addresses = [f'127.0.{block}.{n}:9464' for n in (1, 2)]
        self.servers: list[HttpServer] = []
        self.silent = f'127.0.{block}.1:{_SILENT_PORT}'
        for metrics, address in zip(self.metrics, self.addresses, strict=True):
            metrics.set_gauge(names.ZONE_INSTANCES, 4, zone='a', region='r')
            metrics.set_gauge(names.ZONE_RUNNING, 2, zone='a', region='r')
            server = serve_metrics(address, '/metrics', metrics, SystemClock())
            server.start()
            self.servers.append(server)

    def evacuate(self, *numbers: int) -> None:
        for number in numbers:
            self.metrics[number].set_gauge(
                names.ZONE_EVACUATED_SECONDS, 12.34, zone='a', region='r'
            )


@pytest.fixture
def instances() -> Iterator[_Instances]:
    """Return instances whose metrics can be read."""
    block = AddressBlock(17)
    made = _Instances(block.number)
    yield made
    for server in made.servers:
        server.close()
    block.release()


def _run(*arguments: str) -> Result:
    return CliRunner().invoke(main, ['zones', *arguments])


def test_zones_and_cold_upstreams_are_listed(instances: _Instances) -> None:
    """The ages tell when each instance followed, and what is still cold."""
    instances.evacuate(0, 1)
    instances.metrics[1].set_gauge(
        names.COLD_SECONDS, 1.5, upstream='u"1', service='s', zone='a'
    )
    done = _run(*instances.addresses)
    assert done.exit_code == 0, done.output
    rows = [line.split() for line in done.output.splitlines()]
    assert ['e0', 'r', 'a', '4', '0', '0', '2', '12.3', 's'] in rows
    assert ['e1', 'a', 's', 'u"1', '1.5', 's'] in rows


def test_an_instance_that_does_not_follow_is_shown_by_the_exit_code(
    instances: _Instances,
) -> None:
    """A script would take a zone for empty while one instance sends there."""
    instances.evacuate(0)
    assert _run(instances.addresses[0]).exit_code == 0
    assert _run(*instances.addresses).exit_code == 9


def test_an_instance_without_an_answer_is_named(instances: _Instances) -> None:
    """What it sends to the zone is unknown, so the list is incomplete."""
    one = _run(instances.addresses[0], instances.silent)
    assert one.exit_code == 9
    assert instances.silent in one.output
    assert _run(instances.silent).exit_code == 6
    assert _run('no address').exit_code == 6


def test_a_label_with_a_quotation_mark_hides_no_other_label() -> None:
    """Names come from registrations that other programs write."""
    text = '# TYPE x gauge\nx{zone="a"b",region="r"} 2\nbroken\n'
    assert list(parse_samples(text)) == [
        Sample('x', {'zone': 'a"b', 'region': 'r'}, 2)
    ]
