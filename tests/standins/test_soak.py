"""Tests that the soak test finds violations and that a short run has none."""

import os
import pathlib
import signal
import subprocess
import sys

import gevent

from standins.platform.addresses import AddressBlock
from standins.platform.checks import Verdict
from standins.platform.fleet import Daemon, wait_for_exit
from standins.platform.sampler import Journal, count_events

_ROOT = pathlib.Path(__file__).parents[2]
_FAULT_SECONDS = 8
_CRASH_SECONDS = 12
_START_SECONDS = 2.5
_LIMIT_SECONDS = 120


def _run_soak(*options: str) -> None:
    ended = subprocess.run(
        [sys.executable, '-m', 'standins.platform', *options],
        cwd=_ROOT,
        env={**os.environ, 'PYTHONPATH': str(_ROOT)},
        capture_output=True,
        text=True,
        timeout=_LIMIT_SECONDS,
        check=False,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert '0 violations' in ended.stdout


def test_two_soaks_of_one_seed_use_different_addresses() -> None:
    """Two CI runs on a machine failed with "Address already in use"."""
    blocks = [AddressBlock(os.getpid()) for _ in range(3)]
    assert len({each.number for each in blocks}) == len(blocks)
    for each in blocks:
        each.release()


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


def _find_violations(
    *pages: list[dict[str, object]], completed_at: float = 0
) -> list[str]:
    journal = Journal()
    journal.rewards = {f's-{item}': (f'w-{item}', 5.0) for item in 'ikx'}
    journal.completed_at['i'] = completed_at
    verdict = Verdict(journal)
    verdict.record_submission('j', {'i', 'k'}, 2)
    for results in pages:
        verdict.check_page('j', 0, {'total': 2, 'results': results})
    return [each.partition(':')[0] for each in verdict.violations]


def test_good_results_have_no_violations() -> None:
    """A second page that repeats and extends the first one is valid."""
    one, two = _make_result('i'), _make_result('k')
    assert not _find_violations([one], [one, two])


def test_each_violation_of_results_is_found() -> None:
    """Moved, repeated, cut, foreign, stale and wrongly signed results."""
    one, two = _make_result('i'), _make_result('k')
    assert 'POSITION' in _find_violations([one], [two])
    assert 'DOUBLED' in _find_violations([one, one])
    assert 'TEXT' in _find_violations([{**one, 'text': 'i/1/2'}])
    assert 'MIXED' in _find_violations([{**one, 'text': two['text']}])
    assert 'FOREIGN' in _find_violations([_make_result('x')])
    assert 'STALE' in _find_violations([_make_result('i', 1)])
    assert 'VERSIONS' in _find_violations([{**one, 'versions': [3]}])
    assert 'SIGNATURE' in _find_violations([{**one, 'score': 's-k'}])
    assert 'SIGNATURE' in _find_violations([{**one, 'score': ''}])
    assert 'EARLY' in _find_violations([one], completed_at=6)


def test_orders_of_two_holders_within_a_lease_time_are_found() -> None:
    """A generation that decreases is found as well."""
    journal = Journal()
    journal.orders = [(1.0, 'a', 2), (3.0, 'b', 1)]
    verdict = Verdict(journal)
    verdict.check_orders(journal.orders)
    rules = {each.partition(':')[0] for each in verdict.violations}
    assert rules == {'HOLDERS', 'GENERATION'}


def test_a_short_soak_has_no_violations() -> None:
    """Runs five daemons for eight seconds with overlapping faults."""
    _run_soak('--seed', '3', '--seconds', str(_FAULT_SECONDS))


def test_a_request_that_crashes_samplers_is_stopped_by_the_fleet() -> None:
    """One request returns under new ids, at any entry.

    Each sampler that runs it crashes, and is back after two seconds under a new
    id. A request beside it must still be served.
    """
    _run_soak('--seed', '7', '--seconds', str(_CRASH_SECONDS), '--calm')


def test_a_second_sigterm_does_not_end_a_planned_stop(
    tmp_path: pathlib.Path,
) -> None:
    """A supervisor may send SIGTERM again during a planned stop.

    Ending at once would cut the requests that the stop waits for.
    """
    block = AddressBlock(9)
    prefix = f'127.0.{block.number}'
    daemon = Daemon('entry-0', f'{prefix}.1', f'{prefix}.250:8000', tmp_path)
    daemon.start()
    log = tmp_path / 'entry-0.log'
    try:
        gevent.sleep(_START_SECONDS)
        process = daemon.send_signal(signal.SIGTERM)
        gevent.sleep(0.1)
        daemon.send_signal(signal.SIGTERM)
        assert wait_for_exit(process, _LIMIT_SECONDS)
    finally:
        daemon.kill()
        block.release()
    assert process is not None
    assert process.returncode == 0
    assert 'GG8030' in log.read_text()


def test_a_window_with_two_contents_a_foreign_team_and_a_key_are_found() -> (
    None
):
    """Samplers must receive neither another team's name nor a key."""
    journal = Journal()
    verdict = Verdict(journal)
    verdict.check_windows({7: [{'blue': 1}, {'blue': 2}], 8: [{}]})
    journal.teams.update(['blue', '', 'red'])
    journal.keys_seen = 1
    verdict.check_teams(journal, 'blue')
    rules = [each.partition(':')[0] for each in verdict.violations]
    assert rules == ['WINDOW', 'TEAM', 'KEY']
