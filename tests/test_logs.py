"""Tests of log lines and the decisions stored in memory."""

import io
import json
import logging
from collections.abc import Iterator

import pytest

from guavagate.clock import PausedClock
from guavagate.explain import RecentDecisions
from guavagate.helpers.logs import set_up_logging
from guavagate.models import InstanceId


@pytest.fixture(autouse=True)
def _restore_logger() -> Iterator[None]:
    """Restore the logger for the other tests."""
    logger = logging.getLogger('guavagate')
    before = (list(logger.handlers), logger.level, logger.propagate)
    yield
    logger.handlers, level, logger.propagate = before
    logger.setLevel(level)


def _record(log_format: str) -> str:
    lines = io.StringIO()
    set_up_logging(log_format, stream=lines)
    recent = RecentDecisions(PausedClock(), InstanceId('i1'))
    recent.record('req-1', 'sampler', 's1', 'least loaded', {'s2': 'slow'})
    return lines.getvalue()


def test_a_decision_is_logged_on_one_line_in_both_formats() -> None:
    """Both formats contain the event, subject and reason of a decision."""
    human = _record('human')
    text = 'INFO GG1000 A decision was made subject=req-1 kind=sampler'
    assert text in human
    assert 'reason="least loaded"' in human
    assert human.count('\n') == 1
    machine = json.loads(_record('json'))
    assert machine['event'] == 'GG1000'
    assert machine['turned_down'] == {'s2': 'slow'}


def test_a_failure_is_logged_with_its_traceback() -> None:
    """The human format has it below the line, the JSON format inside."""
    for log_format in ('human', 'json'):
        lines = io.StringIO()
        set_up_logging(log_format, stream=lines)
        try:
            json.loads('{')
        except ValueError:
            logging.getLogger('guavagate.test').exception('failed')
        assert 'JSONDecodeError' in lines.getvalue()
        assert (lines.getvalue().count('\n') == 1) == (log_format == 'json')


def test_the_oldest_decisions_are_discarded() -> None:
    """The buffer drops the oldest, also those of a subject with many."""
    recent = RecentDecisions(PausedClock(), InstanceId('i1'), capacity=10)
    recent.record('old', 'k', 'c', 'r')
    for number in range(12):
        recent.record('busy', 'k', str(number), 'r')
    recent.record('new', 'k', 'c', 'r')
    assert not recent.find('old')
    choices = [decision.choice for decision in recent.find('busy')]
    assert choices == [str(number) for number in range(3, 12)]
    assert len(recent.find('new')) == 1
    assert len(recent) == 10


def test_long_texts_are_truncated() -> None:
    """Long ids and reasons from callers cannot fill the memory."""
    recent = RecentDecisions(PausedClock(), InstanceId('i1'))
    many = {f's{number}': 'x' * 10_000 for number in range(1000)}
    recent.record('q' * 10_000, 'k', 'c' * 10_000, 'r' * 10_000, many)
    found = recent.find('q' * 10_000)
    assert len(found) == 1
    assert len(str(found)) < 3000
