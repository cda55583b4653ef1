"""Mutations of what stops requests that crash upstreams."""

from typing import Final

from standins._safeguard_rows import Safeguard

STOP_SAFEGUARDS: Final = (
    Safeguard(
        'a request with a companion at each end is not stopped yet',
        'guavagate/quarantine/_evidence.py',
        'if short < MIN_ENDS or self._has_companion(identity, ends):',
        'if short < MIN_ENDS:',
        'tests/quarantine/test_evidence.py',
    ),
    Safeguard(
        'a request that was answered is cleared',
        'guavagate/quarantine/_evidence.py',
        '        for end in self._ends:\n'
        '            self._drop_run(end, identity)\n',
        '',
        'tests/quarantine/test_evidence.py',
    ),
    Safeguard(
        'long runs need more ends',
        'guavagate/quarantine/_evidence.py',
        'seconds is not None and seconds <= SHORT_RUN_SECONDS',
        'seconds is not None',
        'tests/quarantine/test_evidence.py',
    ),
    Safeguard(
        'few requests are stopped when upstreams crash whatever they run',
        'guavagate/quarantine/_evidence.py',
        'if len(culprits) >= self._count_allowed(now):',
        'if False:',
        'tests/quarantine/test_evidence.py',
    ),
    Safeguard(
        'a copy of a report counts for nothing',
        'guavagate/quarantine/_evidence.py',
        '        if end.report in known.reports:\n            return False\n',
        '',
        'tests/quarantine/test_late_reports.py',
    ),
    Safeguard(
        'a process ends once',
        'guavagate/quarantine/_evidence.py',
        'if end.incarnation or end.report in self.reports:',
        'if end.report in self.reports:',
        'tests/quarantine/test_late_reports.py',
    ),
    Safeguard(
        'an upstream that accepts connections has not ended',
        'guavagate/quarantine/_ends.py',
        '        if not ended:\n            return\n',
        '',
        'tests/quarantine/test_ends.py',
    ),
    Safeguard(
        'the end of an upstream that leaves is no evidence',
        'guavagate/quarantine/_quarantine.py',
        '        if ended.expected:\n            return\n',
        '',
        'tests/quarantine/test_fleet.py',
    ),
    Safeguard(
        'a second hub passes findings on',
        'guavagate/quarantine/_hubs.py',
        'HUBS: Final = 2',
        'HUBS: Final = 1',
        'tests/quarantine/test_fleet.py',
    ),
    Safeguard(
        'hubs wait for the reports of other instances',
        'guavagate/quarantine/_quarantine.py',
        '        self._clock.sleep(JUDGE_SECONDS)\n',
        '',
        'tests/quarantine/test_fleet.py',
    ),
    Safeguard(
        'the record of a stopped request is in the store',
        'guavagate/quarantine/_quarantine.py',
        'if self._hubs.place is not None and self._try_to_store(record):',
        'if True:',
        'tests/quarantine/test_fleet.py',
    ),
    Safeguard(
        'a stopped request reaches no upstream',
        'guavagate/forwarding/_forward.py',
        '        if progress.refusal is not None:\n            return\n'
        '        upstream',
        '        upstream',
        'tests/forwarding/test_guard.py',
    ),
    Safeguard(
        'the last upstream is kept from a suspect',
        'guavagate/forwarding/_guard.py',
        'if wait and self._quarantine.is_suspect(call.content):',
        'if False:',
        'tests/forwarding/test_guard.py',
    ),
    Safeguard(
        'an item is no suspect',
        'guavagate/jobs/texts/_runner.py',
        'run = BrokenRun(request=progress.item.id, seconds=now - started_at)',
        'from guavagate.quarantine import RequestIdentity\n'
        '        run = BrokenRun(\n'
        '            request=progress.item.id,\n'
        '            seconds=now - started_at,\n'
        '            identity=RequestIdentity(\n'
        "                path='p', content=progress.item.id, query=''\n"
        '            ),\n'
        '        )',
        'tests/jobs/scheduling/test_crashed_samplers.py',
    ),
    Safeguard(
        'the restarts of an item whose samplers end are spaced',
        'guavagate/jobs/texts/_runner.py',
        'progress.retry_at = now + _compute_break_backoff(progress.breaks)',
        'progress.retry_at = now',
        'tests/jobs/scheduling/test_crashed_samplers.py',
    ),
    Safeguard(
        'a reward request is sent though its content is stopped',
        'guavagate/forwarding/_guard.py',
        '        if call.owed:\n            return None\n',
        '',
        'tests/forwarding/test_rewards.py',
    ),
    Safeguard(
        'a reward request is no suspect',
        'guavagate/forwarding/_attempt.py',
        'identity=None if call.owed else call.content.identify(),',
        'identity=call.content.identify(),',
        'tests/forwarding/test_rewards.py',
    ),
    Safeguard(
        'reward requests whose answers are lost are spaced',
        'guavagate/jobs/scheduling/_rewards.py',
        'MAX_LOST_RETRY_SECONDS if is_lost else MAX_RETRY_SECONDS',
        'MAX_RETRY_SECONDS',
        'tests/jobs/scheduling/test_rewards.py',
    ),
    Safeguard(
        'a relay sends later prefixes only to who follows them',
        'guavagate/feeds/_relay.py',
        'self._table.entries(self._later)',
        'self._table.entries()',
        'tests/feeds/test_later_prefixes.py',
    ),
)
