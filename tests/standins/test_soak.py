"""The soak's checks find what they are there for, and a short run is clean."""

import os
import pathlib
import signal
import subprocess
import sys

import gevent

from standins.platform.checks import Verdict
from standins.platform.fleet import Daemon, wait_ended
from standins.platform.sampler import Journal, count_events

_ROOT = pathlib.Path(__file__).parents[2]
_FAULT_SECONDS = 8
_START_SECONDS = 2.5
_LIMIT_SECONDS = 120


def _make_result(item: str, version: int = 2) -> dict[str, object]:
    lines = [
        f'{item}/{number}/{version}'
        for number in range(1, count_events(item) + 1)
    ]
    return {
        'id': item,
        'state': 'completed',
        'text': '\n'.join(lines),
        'versions': [version],
        'score': f's-{item}',
    }


def _judge(*pages: list[dict[str, object]], whole_at: float = 0) -> list[str]:
    journal = Journal()
    journal.rated = {f's-{item}': (f'w-{item}', 5.0) for item in 'ikx'}
    journal.whole_at['i'] = whole_at
    verdict = Verdict(journal)
    verdict.submit('j', {'i', 'k'}, 2)
    for results in pages:
        verdict.read('j', 0, {'total': 2, 'results': results})
    return [each.partition(':')[0] for each in verdict.violations]


def test_good_results_break_nothing() -> None:
    """Read twice, and longer the second time."""
    one, two = _make_result('i'), _make_result('k')
    assert not _judge([one], [one, two])


def test_each_broken_promise_is_found() -> None:
    """Moved, doubled, cut, foreign, stale and wrongly named results."""
    one, two = _make_result('i'), _make_result('k')
    assert 'POSITION' in _judge([one], [two])
    assert 'DOUBLED' in _judge([one, one])
    assert 'TEXT' in _judge([{**one, 'text': 'i/1/2'}])
    assert 'MIXED' in _judge([{**one, 'text': two['text']}])
    assert 'FOREIGN' in _judge([_make_result('x')])
    assert 'STALE' in _judge([_make_result('i', 1)])
    assert 'VERSIONS' in _judge([{**one, 'versions': [3]}])
    assert 'SIGNATURE' in _judge([{**one, 'score': 's-k'}])
    assert 'SIGNATURE' in _judge([{**one, 'score': ''}])
    assert 'EARLY' in _judge([one], whole_at=6)


def test_two_holders_within_a_lease_are_found() -> None:
    """And a generation that goes back."""
    journal = Journal()
    journal.orders = [(1.0, 'a', 2), (3.0, 'b', 1)]
    verdict = Verdict(journal)
    verdict.check_orders(journal.orders)
    rules = {each.partition(':')[0] for each in verdict.violations}
    assert rules == {'HOLDERS', 'GENERATION'}


def test_a_short_soak_is_clean() -> None:
    """Five daemons, one seed, eight seconds of faults that overlap."""
    ended = subprocess.run(
        [
            sys.executable,
            '-m',
            'standins.platform',
            '--seed',
            '3',
            '--seconds',
            str(_FAULT_SECONDS),
        ],
        cwd=_ROOT,
        env={**os.environ, 'PYTHONPATH': str(_ROOT)},
        capture_output=True,
        text=True,
        timeout=_LIMIT_SECONDS,
        check=False,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert '0 violations' in ended.stdout


def test_a_second_sigterm_cuts_no_planned_stop(
    tmp_path: pathlib.Path,
) -> None:
    """A supervisor sends SIGTERM again while the first one is carried out.

    Taken for "end now", it would cut the requests that the stop waits for.
    """
    daemon = Daemon('entry-0', '127.0.9.1', '127.0.9.250:8000', tmp_path)
    daemon.start()
    log = tmp_path / 'entry-0.log'
    try:
        gevent.sleep(_START_SECONDS)
        process = daemon.send(signal.SIGTERM)
        gevent.sleep(0.1)
        daemon.send(signal.SIGTERM)
        assert wait_ended(process, _LIMIT_SECONDS)
    finally:
        daemon.end()
    assert process is not None
    assert process.returncode == 0
    assert 'GG8030' in log.read_text()


def test_a_window_with_two_contents_and_a_foreign_team_are_found() -> None:
    """As is a key that a sampler was shown."""
    journal = Journal()
    verdict = Verdict(journal)
    verdict.check_windows({7: [{'blue': 1}, {'blue': 2}], 8: [{}]})
    journal.teams.update(['blue', '', 'red'])
    journal.keys_seen = 1
    verdict.check_teams(journal, 'blue')
    rules = [each.partition(':')[0] for each in verdict.violations]
    assert rules == ['WINDOW', 'TEAM', 'KEY']
