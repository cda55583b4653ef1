"""Tests of what one instance tells operators of itself."""

import os
import signal
from collections.abc import Iterator

import pytest

from guavagate.metrics import Metrics
from guavagate.models import Epoch, PartitionId, UpstreamState
from guavagate.partitions.stored import OwnedPartition
from guavagate.reports import LiveReports, refresh_process
from tests.test_instance import Path

_TRAINER = 'trainer-token'


@pytest.fixture(name='path')
def start_path() -> Iterator[Path]:
    """Start one instance with its stand-ins."""
    running = Path()
    yield running
    running.stop()


def _reports(path: Path) -> LiveReports:
    held = [
        OwnedPartition(PartitionId(number), Epoch(2)) for number in range(2)
    ]
    instance = path.instance
    hosted = instance.driver._hosted
    return LiveReports(instance.runtime, instance, hosted, lambda: held)


def test_an_instance_reports_roles_samplers_and_runs(path: Path) -> None:
    """Its own partitions, the samplers of its pools, the runs it leads."""
    run = '/v1/runs/plan-batches'
    path.ask_json(f'{run}/versions', {'version': 1}, _TRAINER)
    group = {'group_id': 'g', 'prompt': 'p', 'samples': 2, 'max_tokens': 4}
    step = {'step_id': 'one', 'groups': [group]}
    path.ask_json(f'{run}/steps', step, _TRAINER)
    reports = _reports(path)
    described = reports.describe_instance()
    roles = [one.role for one in described.partitions]
    assert roles == ['primary', 'primary']
    assert described.state == 'ready'
    told = reports.list_runs()[0]
    assert (told.team, told.run, told.version) == ('trust', 'plan-batches', 1)
    assert (told.step, told.wanted) == ('one', 2)
    samplers = {one.sampler: one for one in reports.list_samplers()}
    assert set(samplers) == {'s0', 's1'}
    assert all(one.slots == 4 for one in samplers.values())


def test_a_sampler_that_gives_no_report_is_shown_as_gone(path: Path) -> None:
    """An engine stops; the operator sees which, not a shorter list."""
    path.engines[0].stop()
    path.instance.reports.reports().clear()
    states = {one.state for one in _reports(path).list_samplers()}
    assert UpstreamState.GONE in states


def test_a_second_drain_sends_no_second_signal(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two operators drain one instance, and no request is cut.

    The first signal begins a planned stop; a second one ends the process at
    once, with all that it is answering.
    """
    sent: list[tuple[int, int]] = []
    monkeypatch.setattr(os, 'kill', lambda *args: sent.append(args))
    reports = _reports(path)
    reports.start_drain()
    reports.start_drain()
    assert sent == [(os.getpid(), signal.SIGTERM)]
    assert reports.describe_instance().state == 'draining'


def test_gauges_follow_what_is_known(path: Path) -> None:
    """The exposition has the pools at home here, and the process."""
    metrics = Metrics()
    _reports(path).refresh(metrics)
    refresh_process(metrics)
    shown = metrics.render('')[0].decode()
    assert 'guavagate_queued_requests{pool="trust/coach-models/0"} 0' in shown
    assert 'guavagate_partitions_led 2' in shown
    assert 'process_resident_memory_bytes' in shown
