"""Mutations that each remove one safeguard of requests bound to regions."""

from typing import Final

from standins._safeguard_rows import Safeguard

_JOBS: Final = 'guavagate/residency/_jobs.py'
_REGIONS: Final = 'guavagate/residency/_regions.py'
_ALLOCATION: Final = 'guavagate/rollouts/_regions.py'
_TEST_ALLOCATION: Final = 'tests/residency/test_allocation.py'
_TEST_JOBS: Final = 'tests/residency/test_jobs.py'
_TEST_REGIONS: Final = 'tests/residency/test_regions.py'
_TEST_REQUESTS: Final = 'tests/residency/test_requests.py'
_TEST_SCHEDULE: Final = 'tests/residency/test_schedule.py'

RESIDENCY_SAFEGUARDS: Final = (
    Safeguard(
        'a contradiction of route and team is no missing bound',
        _REGIONS,
        '    return route & team\n',
        '    return route & team or ANYWHERE\n',
        _TEST_REGIONS,
    ),
    Safeguard(
        'without a common region the owner stays in one',
        _REGIONS,
        '    return frozenset((best,))\n',
        '    return ANYWHERE\n',
        _TEST_REGIONS,
    ),
    Safeguard(
        'each attempt uses the regions in force',
        'guavagate/forwarding/_forward.py',
        '        call = self.regions.bind(progress.call, progress.route)\n',
        '        call = progress.call\n',
        _TEST_REQUESTS,
    ),
    Safeguard(
        'an upstream inside that leaves is not called outside',
        'guavagate/routing/_eligibility.py',
        '    Obstacle.LEAVING,\n    Obstacle.OUTSIDE_REGIONS,\n',
        '    Obstacle.OUTSIDE_REGIONS,\n    Obstacle.LEAVING,\n',
        _TEST_REQUESTS,
    ),
    Safeguard(
        'items start on samplers inside only',
        'guavagate/jobs/scheduling/_schedule.py',
        'and is_inside(self.region, work.regions)',
        'and True',
        _TEST_SCHEDULE,
    ),
    Safeguard(
        'items that run outside are cancelled',
        'guavagate/jobs/_residency.py',
        '                progress.cancel()\n',
        '                pass\n',
        _TEST_JOBS,
    ),
    Safeguard(
        'owner and successors are inside',
        'guavagate/jobs/ownership/_ownership.py',
        'inside = [each for each in alive if each.region in regions]',
        'inside = alive',
        _TEST_JOBS,
    ),
    Safeguard(
        'the record of a bound job has no bodies',
        'guavagate/jobs/records/_store.py',
        'if len(parts) > 1 or job.regions is not None:',
        'if len(parts) > 1:',
        _TEST_JOBS,
    ),
    Safeguard(
        'an owner outside holds no bodies',
        'guavagate/jobs/_loader.py',
        '        if not self._regions.may_hold(job):\n',
        '        if False:\n',
        _TEST_JOBS,
    ),
    Safeguard(
        'an entry outside caches no bodies',
        'guavagate/jobs/records/_reader.py',
        ' or not self._bounds.may_hold_here(regions)',
        '',
        _TEST_JOBS,
    ),
    Safeguard(
        'what a change excludes is dropped',
        'guavagate/service.py',
        '            if not self._bounds.may_hold_here(home):\n',
        '            if False:\n',
        'tests/test_service.py',
    ),
    Safeguard(
        'cached jobs that a change excludes are dropped',
        'guavagate/jobs/records/_reader.py',
        '            if not self._bounds.may_hold_here(regions):\n',
        '            if False:\n',
        _TEST_JOBS,
    ),
    Safeguard(
        'a job that was accepted is not refused for its regions',
        'guavagate/jobs/records/_announcements.py',
        '            if not self._job_store.may_exist(job.id):\n',
        '            if True:\n',
        _TEST_JOBS,
    ),
    Safeguard(
        'jobs that exclude their owner are refused',
        _JOBS,
        'if owner is not None and not self.may_hold(regions, owner):',
        'if False:',
        _TEST_JOBS,
    ),
    Safeguard(
        'rewards are bound like their job',
        'guavagate/jobs/scheduling/_rewards.py',
        'self._client.send(reward, work.regions)',
        'self._client.send(reward)',
        _TEST_SCHEDULE,
    ),
    Safeguard(
        'bound models choose samplers inside',
        _ALLOCATION,
        'if is_inside(sampler_regions.get(each), regions)',
        'if True',
        _TEST_ALLOCATION,
    ),
    Safeguard(
        'a small change of the share moves no sampler',
        _ALLOCATION,
        'return kept if abs(wanted - kept) <= QUOTA_TOLERANCE else wanted',
        'return wanted',
        _TEST_ALLOCATION,
    ),
    Safeguard(
        'no sampler outside is borrowed',
        'guavagate/rollouts/_plan.py',
        '                sampler.region, demands[model].regions\n',
        '                None, None\n',
        _TEST_ALLOCATION,
    ),
    Safeguard(
        'store calls with bodies go through permitted peers only',
        'guavagate/integrations/object_api/_peers.py',
        'if self._may_relay(each, call.path)',
        'if True',
        'tests/integrations/test_peers.py',
    ),
    Safeguard(
        'store calls with bodies are relayed in the own region',
        _JOBS,
        'return here.region == there.region',
        'return True',
        _TEST_JOBS,
    ),
    Safeguard(
        'jobs are announced to instances inside only',
        'guavagate/jobs/records/_announcements.py',
        'if not self._bounds.may_hold(job.regions, recipient):',
        'if False:',
        _TEST_JOBS,
    ),
    Safeguard(
        'texts are replicated to instances inside only',
        'guavagate/jobs/texts/_text_backups.py',
        'sent = [each for each in works if self._may_send(each, peer)]',
        'sent = works',
        _TEST_JOBS,
    ),
    Safeguard(
        'texts are handed over to an owner inside only',
        'guavagate/jobs/texts/_text_backups.py',
        '[each for each in self._list_open() if self._may_send(each, peer)]',
        'list(self._list_open())',
        _TEST_JOBS,
    ),
    Safeguard(
        'a job whose route is gone stays inside',
        'guavagate/residency/_bounds.py',
        'accepted=ANYWHERE if known else accepted,',
        'accepted=ANYWHERE,',
        _TEST_JOBS,
    ),
    Safeguard(
        'a resumed stream uses the regions in force',
        'guavagate/forwarding/_stream.py',
        '            call = self._regions.bind(call, route)\n'
        '            progress.call = call\n',
        '',
        _TEST_REQUESTS,
    ),
    Safeguard(
        'a job whose rewards are bound elsewhere is refused',
        _JOBS,
        '        if contradicting:\n',
        '        if False:\n',
        _TEST_JOBS,
    ),
    Safeguard(
        'a call without a permitted peer delays no other one',
        'guavagate/integrations/object_api/_peers.py',
        'if peers and not self._peers.has_working_peer(peers):',
        'if not self._peers.has_working_peer(peers):',
        'tests/integrations/test_peers.py',
    ),
    Safeguard(
        'a running job leaves an owner that its regions exclude',
        'guavagate/jobs/_owner.py',
        '        self._loader.release_excluded()\n',
        '',
        'tests/residency/test_jobs.py',
    ),
)
