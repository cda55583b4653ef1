"""Mutations that each remove one safeguard of the jobs."""

from typing import Final

from standins._safeguard_rows import Safeguard

JOB_SAFEGUARDS: Final = (
    Safeguard(
        'results that gathered are committed in objects that the store takes',
        'guavagate/jobs/_result_log.py',
        'if uncommitted and size > self._max_chunk_bytes:',
        'if False:',
        'tests/jobs/test_result_log.py',
    ),
    Safeguard(
        'an owner loads no job of another service',
        'guavagate/jobs/records/_loaded.py',
        'if job.service != self._service:',
        'if False:',
        'tests/jobs/records/test_foreign_jobs.py',
    ),
    Safeguard(
        "reads of another service's job cost no store calls",
        'guavagate/jobs/_loader.py',
        '            self._active_jobs.record_foreign(job.id)\n',
        '',
        'tests/jobs/records/test_foreign_jobs.py',
    ),
    Safeguard(
        'a service whose routes moved keeps its owner',
        'guavagate/routing/_routes.py',
        '        self.add_former_job_services(routed)\n',
        '',
        'tests/test_moved_routes.py',
    ),
    Safeguard(
        'an instance that starts later reads the former services',
        'guavagate/former_services.py',
        'if load:',
        'if False:',
        'tests/test_moved_routes.py',
    ),
    Safeguard(
        'the former services are read again after an outage',
        'guavagate/former_services.py',
        '                continue\n',
        '                return\n',
        'tests/test_moved_routes.py',
    ),
    Safeguard(
        'a former service without open jobs is given up',
        'guavagate/former_services.py',
        'return not open_jobs and seconds > LINGER_SECONDS',
        'return False',
        'tests/test_moved_routes.py',
    ),
    Safeguard(
        'an uncertain chunk is dropped once its number exists',
        'guavagate/jobs/_result_log.py',
        '        self._next_number += 1\n'
        '        self._uncertain_chunk = None\n',
        '        self._next_number += 1\n',
        'tests/jobs/test_result_log.py',
    ),
    Safeguard(
        'an item that was committed twice is returned once',
        'guavagate/jobs/_result_log.py',
        '            if result.id not in self.committed:\n',
        '            if True:\n',
        'tests/jobs/test_result_log.py',
    ),
    Safeguard(
        'a new owner waits until all jobs are loaded',
        'guavagate/jobs/_loader.py',
        'return self._job_mirror.loaded and self._active_jobs.is_complete',
        'return True',
        'tests/jobs/test_owner.py',
    ),
    Safeguard(
        'a group that can not complete in time is deferred',
        'guavagate/jobs/scheduling/_forecast.py',
        '            dropped.deferred = True\n',
        '',
        'tests/jobs/scheduling/test_forecast.py',
    ),
    Safeguard(
        'the forecast counts samplers that are loading',
        'guavagate/jobs/scheduling/_slots.py',
        '        if state.loading and not include_upcoming:\n',
        '        if state.loading:\n',
        'tests/jobs/scheduling/test_slots.py',
    ),
    Safeguard(
        'an unresponsive sampler gets no items',
        'guavagate/jobs/scheduling/_slots.py',
        'if state.unresponsive or state.avoid_until > until:',
        'if state.avoid_until > until:',
        'tests/jobs/scheduling/test_stalls.py',
    ),
    Safeguard(
        'a single stalled stream does not make its sampler unresponsive',
        'guavagate/jobs/scheduling/_stalls.py',
        'MIN_STALLED_STREAMS: Final = 2',
        'MIN_STALLED_STREAMS: Final = 1',
        'tests/jobs/scheduling/test_stalls.py',
    ),
    Safeguard(
        'a sampler that is loading does not count as unresponsive',
        'guavagate/jobs/scheduling/_stalls.py',
        '        and not states.get(sampler).loading\n',
        '',
        'tests/jobs/scheduling/test_stalls.py',
    ),
    Safeguard(
        'partial texts are saved on disk',
        'guavagate/jobs/texts/_text_backups.py',
        '                self._snapshots.save(self._service, works)\n',
        '                continue\n',
        'tests/jobs/texts/test_snapshots.py',
    ),
    Safeguard(
        'snapshots do not queue for a stalled disk',
        'guavagate/jobs/texts/_snapshots.py',
        'if path is None or self._busy:',
        'if path is None:',
        'tests/jobs/texts/test_snapshots.py',
    ),
    Safeguard(
        'an instance that works on jobs is no standby relay',
        'guavagate/feeds/_feed.py',
        'relaying=able and self._may_be_standby()',
        'relaying=able',
        'tests/feeds/test_feed.py',
    ),
    Safeguard(
        'the remaining sampler goes to the largest workload',
        'guavagate/rollouts/_assign.py',
        'key=lambda each: (-weigh(each), -counts[each], each)',
        'key=lambda each: (-counts[each], each)',
        'tests/rollouts/test_plan.py',
    ),
)
