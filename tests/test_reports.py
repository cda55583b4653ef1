"""Tests of the reports of one instance for operators."""

import os
import signal
from collections.abc import Iterator

import pytest

from guavagate.metrics import Metrics
from guavagate.models import Epoch, PartitionId, UpstreamState
from guavagate.partitions.stored import OwnedPartition
from guavagate.reports import LiveReports, refresh_process
from tests.test_instance import RunningInstance

_TRAINER = 'trainer-token'


@pytest.fixture(name='path')
def start_path() -> Iterator[RunningInstance]:
    """Start one instance with stand-ins for the platform."""
    running = RunningInstance()
    yield running
    running.stop()


def _reports(path: RunningInstance) -> LiveReports:
    owned = [
        OwnedPartition(PartitionId(number), Epoch(2)) for number in range(2)
    ]
    instance = path.instance
    hosted = instance.driver._hosted
    return LiveReports(instance.runtime, instance, hosted, lambda: owned)


def test_an_instance_reports_roles_samplers_and_runs(
    path: RunningInstance,
) -> None:
    """Reports its partitions, its pools' samplers and the runs it leads."""
    run = '/v1/runs/plan-batches'
    path.ask_json(f'{run}/versions', {'version': 1}, _TRAINER)
    group = {'group_id': 'g', 'prompt': 'p', 'samples': 2, 'max_tokens': 4}
    step = {'step_id': 'one', 'groups': [group]}
    path.ask_json(f'{run}/steps', step, _TRAINER)
    reports = _reports(path)
    described = reports.describe_instance()
    roles = [each.role for each in described.partitions]
    assert roles == ['primary', 'primary']
    assert described.state == 'ready'
    run_report = reports.list_runs()[0]
    assert (run_report.team, run_report.run, run_report.version) == (
        'trust',
        'plan-batches',
        1,
    )
    assert (run_report.step, run_report.wanted) == ('one', 2)
    samplers = {each.sampler: each for each in reports.list_samplers()}
    assert set(samplers) == {'s0', 's1'}
    assert all(each.slots == 4 for each in samplers.values())


def test_a_sampler_without_a_report_is_listed_as_gone(
    path: RunningInstance,
) -> None:
    """The sampler of a stopped engine stays in the list, as gone."""
    path.engines[0].stop()
    path.instance.reports.reports().clear()
    states = {each.state for each in _reports(path).list_samplers()}
    assert UpstreamState.GONE in states


def test_a_second_drain_sends_no_second_signal(
    path: RunningInstance, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two operators drain one instance without aborting its requests.

    The first signal begins a planned stop; a second one ends the process at
    once and aborts the requests in flight.
    """
    sent: list[tuple[int, int]] = []
    monkeypatch.setattr(os, 'kill', lambda *args: sent.append(args))
    reports = _reports(path)
    reports.start_drain()
    reports.start_drain()
    assert sent == [(os.getpid(), signal.SIGTERM)]
    assert reports.describe_instance().state == 'draining'


def test_gauges_show_the_pools_and_the_process(path: RunningInstance) -> None:
    """The metrics contain the pools that this instance owns."""
    metrics = Metrics()
    _reports(path).refresh(metrics)
    refresh_process(metrics)
    exposition = metrics.render('')[0].decode()
    assert (
        'guavagate_queued_requests{pool="trust/coach-models/0"} 0' in exposition
    )
    assert 'guavagate_partitions_led 2' in exposition
    assert 'process_resident_memory_bytes' in exposition
