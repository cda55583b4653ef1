"""Mutations that each remove one safeguard of announcements and failover."""

from typing import Final

from standins._safeguard_rows import Safeguard

_ANNOUNCEMENTS: Final = 'guavagate/jobs/records/_announcements.py'
_FAILOVER: Final = 'guavagate/jobs/ownership/_failover.py'
_REPLICAS: Final = 'guavagate/jobs/texts/_replicas.py'
_TEST_ANNOUNCEMENTS: Final = 'tests/jobs/records/test_announcements.py'
_TEST_FAILOVER: Final = 'tests/jobs/ownership/test_failover.py'
_TEST_STANDING_IN: Final = 'tests/jobs/ownership/test_standing_in.py'

_IDENTITY: Final = 'guavagate/membership/_identity.py'
_TEST_IDENTITY: Final = 'tests/membership/test_process_identity.py'

FAILOVER_SAFEGUARDS: Final = (
    Safeguard(
        'a service is recorded before its first job',
        'guavagate/jobs/records/_store.py',
        '        self._record_service(job.service, timeout)\n',
        '',
        'tests/test_moved_routes.py',
    ),
    Safeguard(
        'an uncertain record of a service refuses the job',
        'guavagate/jobs/records/_store.py',
        '            raise NotWrittenError from error\n',
        '            raise\n',
        'tests/jobs/records/test_job_store.py',
    ),
    Safeguard(
        'a process with the same address came before',
        _IDENTITY,
        '        return other.peer_address == self.me.peer_address\n',
        '        return other.boot <= self.boot\n',
        'tests/membership',
    ),
    Safeguard(
        'a new process takes over its id',
        _IDENTITY,
        'if not (is_new or self._is_earlier(claim)):',
        'if not self._is_earlier(claim):',
        _TEST_IDENTITY,
    ),
    Safeguard(
        'a replaced process gives way',
        _IDENTITY,
        'if not (is_new or self._is_earlier(claim)):',
        'if False:',
        _TEST_IDENTITY,
    ),
    Safeguard(
        'a superseded process resumes once the other one is dead',
        _IDENTITY,
        'if other is None or claim.state == MemberState.DEAD.value:',
        'if other is None:',
        _TEST_IDENTITY,
    ),
    Safeguard(
        'a superseded process leaves itself out of the working ones',
        'guavagate/membership/_members.py',
        'if identity.state is MemberState.ALIVE and not identity.superseded:',
        'if identity.state is MemberState.ALIVE:',
        'tests/membership/test_members.py',
    ),
    Safeguard(
        'an announcement after the end is ignored',
        _ANNOUNCEMENTS,
        'if job.id in self._jobs or job.id in self._ended:',
        'if job.id in self._jobs:',
        _TEST_ANNOUNCEMENTS,
    ),
    Safeguard(
        'a job of megabytes is not announced',
        _ANNOUNCEMENTS,
        'if measure_job(job) <= MAX_JOB_BYTES:',
        'if True:',
        _TEST_ANNOUNCEMENTS,
    ),
    Safeguard(
        'stored announcements are bounded',
        _ANNOUNCEMENTS,
        'fits = self._bytes <= MAX_STORED_BYTES or len(self._jobs) == 1',
        'fits = True',
        _TEST_ANNOUNCEMENTS,
    ),
    Safeguard(
        'an announced job that has expired does not run',
        'guavagate/jobs/_loader.py',
        '        if self._is_owning() and not expired:\n',
        '        if self._is_owning():\n',
        _TEST_ANNOUNCEMENTS,
    ),
    Safeguard(
        'an instance that was frozen takes nothing over',
        _FAILOVER,
        '        if gap > MAX_DECISION_GAP_SECONDS:\n',
        '        if False:\n',
        _TEST_FAILOVER,
    ),
    Safeguard(
        'an instance that nobody answers takes nothing over',
        _FAILOVER,
        'self._is_lost = reached_others and not reached',
        'self._is_lost = not reached',
        _TEST_FAILOVER,
    ),
    Safeguard(
        'an owner that others reach is not replaced',
        'guavagate/jobs/ownership/_owner_watch.py',
        'reached=reached or any(known)',
        'reached=reached',
        _TEST_STANDING_IN,
    ),
    Safeguard(
        'a single late heartbeat does not return the jobs',
        _FAILOVER,
        'if current and heard_for >= RETURN_AFTER_SECONDS:',
        'if current:',
        _TEST_FAILOVER,
    ),
    Safeguard(
        'an instance that stands in sends no orders',
        'guavagate/owned_service.py',
        'self.coordinator.start(ordering=False)',
        'self.coordinator.start()',
        'tests/test_service.py',
    ),
    Safeguard(
        'a text is not replaced while a run appends to it',
        _REPLICAS,
        'if progress is None or progress.sampler is None:',
        'if True:',
        _TEST_STANDING_IN,
    ),
    Safeguard(
        'jobs are returned with their texts',
        'guavagate/jobs/_owner.py',
        '        if next_owner is not None:\n',
        '        if False:\n',
        _TEST_STANDING_IN,
    ),
    Safeguard(
        'readers ask the successor of a silent owner',
        'guavagate/jobs/records/_reader.py',
        '        if was_silent:\n',
        '        if False:\n',
        _TEST_STANDING_IN,
    ),
    Safeguard(
        'batches leave the rate of writes to urgent commits',
        'guavagate/jobs/records/_committer.py',
        '            if self._has_spare_writes():\n',
        '            if True:\n',
        'tests/jobs/records/test_commits.py',
    ),
    Safeguard(
        'an instance that has only listed follows a relay at once',
        'guavagate/feeds/_feed.py',
        '            or now - self._started_at < START_WAIT_SECONDS\n',
        '',
        'tests/feeds/test_feed.py',
    ),
)
