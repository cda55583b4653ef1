"""Mutations that each remove one safeguard, with the test that fails."""

from typing import Final

import msgspec


class Safeguard(msgspec.Struct, frozen=True):
    """A mutation: `text` in a file is replaced by `replacement`."""

    name: str
    file: str
    text: str
    replacement: str
    test: str


PLATFORM_SAFEGUARDS: Final = (
    Safeguard(
        "a chunk's number is the fence",
        'guavagate/jobs/_result_log.py',
        '            if other is None:\n',
        '            if True:\n',
        'tests/jobs/test_result_log.py',
    ),
    Safeguard(
        'an object is created only if it does not exist',
        'guavagate/helpers/store_writes.py',
        'expected=_MISSING)',
        'expected=None)',
        'tests/jobs/test_result_log.py',
    ),
    Safeguard(
        'an uncertain write is not reported as not written',
        'guavagate/helpers/store_writes.py',
        'return MaybeWrittenError() if uncertain else NotWrittenError()',
        'return NotWrittenError()',
        'tests/jobs/records/test_job_store.py',
    ),
    Safeguard(
        "a successor waits for its predecessor's orders",
        'guavagate/rollouts/_lease.py',
        '        self._first_order_at = self._now() + wait\n',
        '        self._first_order_at = self._now()\n',
        'tests/rollouts/test_lease.py',
    ),
    Safeguard(
        'orders need a recent renewal',
        'guavagate/rollouts/_lease.py',
        'self._valid_until = started_at + VALID_SECONDS\n'
        '        self._renewed_at',
        'self._valid_until = started_at + 60\n        self._renewed_at',
        'tests/rollouts/test_lease.py',
    ),
    Safeguard(
        'each holder of a lease increases the generation',
        'guavagate/rollouts/_lease.py',
        'previous.generation + 1\n',
        'previous.generation\n',
        'tests/rollouts/test_lease.py',
    ),
    Safeguard(
        'a successor that missed a renewal waits the full lease time',
        'guavagate/rollouts/_renewals.py',
        'return at if received == newest else None',
        'return at or None',
        'tests/rollouts/test_lease.py',
    ),
    Safeguard(
        'a renewal is announced before it is written',
        'guavagate/rollouts/_lease.py',
        '        self._announce(record)\n'
        '        try:\n            self._revision',
        '        try:\n            self._revision',
        'tests/rollouts/test_lease.py',
    ),
    Safeguard(
        'after a restart of all instances the former job owner continues',
        'guavagate/jobs/ownership/_ownership.py',
        '            return former\n',
        '            return ranked[0]\n',
        'tests/jobs/ownership/test_ownership.py',
    ),
    Safeguard(
        'an instance that restarted alone ranks instances as the others do',
        'guavagate/jobs/ownership/_ownership.py',
        'return len(buckets) == 1',
        'return True',
        'tests/jobs/ownership/test_ownership.py',
    ),
    Safeguard(
        'a regenerated text replaces its replica',
        'guavagate/jobs/texts/_replicas.py',
        'if known is None or known.text is not text:',
        'if known is None:',
        'tests/jobs/texts/test_texts.py',
    ),
    Safeguard(
        'replicas of two job owners are stored separately',
        'guavagate/jobs/texts/_replicas.py',
        'source = (copy.service, sender, copy.boot)',
        "source = (copy.service, InstanceId(''), 0)",
        'tests/jobs/texts/test_texts.py',
    ),
    Safeguard(
        'a late replica is ignored',
        'guavagate/jobs/texts/_replicas.py',
        'fits = replica.number == part.number and part',
        'fits = part',
        'tests/jobs/texts/test_texts.py',
    ),
    Safeguard(
        'a replica is used only if its versions are allowed',
        'guavagate/jobs/texts/_adoption.py',
        'if longer and text.meets_version_bounds(work.job.min_version, None):',
        'if longer:',
        'tests/jobs/texts/test_texts.py',
    ),
    Safeguard(
        'a job owner that was paused reads results that others have listed',
        'guavagate/jobs/records/_active_job.py',
        'return self.invalidations > self.reconciled and not complete',
        'return False',
        'tests/jobs/test_owner.py',
    ),
    Safeguard(
        'a complete text is replicated as complete',
        'guavagate/jobs/texts/_replicas.py',
        '            text.complete,\n        )',
        '            False,\n        )',
        'tests/jobs/scheduling/test_rewards.py',
    ),
    Safeguard(
        'a reward is requested only for a complete text',
        'guavagate/jobs/_work.py',
        'if self.done or not self.text.complete:\n            return False\n'
        '        return self.reward_task',
        'if self.done or not self.text.last_number:\n            return False\n'
        '        return self.reward_task',
        'tests/jobs/scheduling/test_rewards.py',
    ),
    Safeguard(
        'only a successful response gives a signature',
        'guavagate/forwarding/_rewards.py',
        'if attempt.status not in _SUCCESS or not signature:',
        'if False:',
        'tests/forwarding/test_rewards.py',
    ),
    Safeguard(
        'reward requests leave slots to callers',
        'guavagate/decisions/background.py',
        'return max(slots - reserved, 1)',
        'return 1000',
        'tests/decisions/test_background.py',
    ),
    Safeguard(
        'an ended job requests no reward',
        'guavagate/jobs/_work.py',
        'reward.kill(block=False)',
        'pass',
        'tests/jobs/scheduling/test_rewards.py',
    ),
    Safeguard(
        'a signature is reused for the same reward request only',
        'guavagate/jobs/texts/_partial_texts.py',
        'same_reward = stored.item.reward == progress.item.reward',
        'same_reward = True',
        'tests/jobs/scheduling/test_rewards.py',
    ),
    Safeguard(
        'a restart discards the previous state of a sampler',
        'guavagate/rollouts/_states.py',
        'self._states[sampler] = fresh',
        'state.incarnation = start',
        'tests/rollouts/test_coordinator.py',
    ),
    Safeguard(
        'a late registration is not treated as a restart',
        'guavagate/routing/_registrations.py',
        'if not before or upstream.incarnation <= before:',
        'if not before or upstream.incarnation == before:',
        'tests/routing/test_restarts.py',
    ),
    Safeguard(
        'an unreadable object hides no other object',
        'guavagate/feeds/_table.py',
        'except ValueError as error:',
        'except ZeroDivisionError as error:',
        'tests/platform/test_other_writers.py',
    ),
    Safeguard(
        'texts are replicated to successors',
        'guavagate/jobs/texts/_text_backups.py',
        'for peer in self._list_holders():',
        'for peer in ():',
        'tests/jobs/texts/test_texts.py',
    ),
    Safeguard(
        "each event's version is within the bound",
        'guavagate/jobs/texts/_runner.py',
        'if not progress.text.meets_version_bounds(job.min_version, single):\n'
        '            progress.text = Text()\n'
        '            raise',
        'if False:\n            progress.text = Text()\n            raise',
        'tests/jobs/test_owner.py',
    ),
    Safeguard(
        'events are accepted in order only',
        'guavagate/jobs/texts/_runner.py',
        'if event.number != progress.text.last_number + 1:',
        'if False:',
        'tests/jobs/texts/test_texts.py',
    ),
    Safeguard(
        'an ended job stops running',
        'guavagate/jobs/records/_loaded.py',
        '        _cancel(work)\n        self._partial_texts',
        '        self._partial_texts',
        'tests/jobs/test_owner.py',
    ),
    Safeguard(
        'an order carries the count of accepted orders',
        'guavagate/rollouts/_coordinator.py',
        'orders_taken=state.orders_taken,\n',
        'orders_taken=0,\n',
        'tests/rollouts/test_coordinator.py',
    ),
    Safeguard(
        'an older configuration is rejected',
        'guavagate/routing/_routes.py',
        'configuration.version <= current.version',
        'configuration.version < 0',
        'tests/routing/test_routes.py',
    ),
    Safeguard(
        'a leaving upstream gets no new work',
        'guavagate/routing/_eligibility.py',
        'if upstream.leaving:',
        'if False:',
        'tests/routing/test_routes.py',
    ),
    Safeguard(
        'a response is matched by its request id',
        'guavagate/forwarding/_attempt.py',
        'if marks.mismatched:',
        'if False:',
        'tests/forwarding',
    ),
    Safeguard(
        'a request that may have run is not repeated',
        'guavagate/forwarding/_forward.py',
        'if progress.may_repeat or not progress.may_have_run:',
        'if True:',
        'tests/forwarding',
    ),
    Safeguard(
        'a non-resumable stream is not resumed',
        'guavagate/forwarding/_stream.py',
        '        return route.resumable\n',
        '        return True\n',
        'tests/forwarding',
    ),
    Safeguard(
        'a stream resumes after its last complete event',
        'guavagate/forwarding/_stream.py',
        '                progress.last_event_id = event.number\n',
        '',
        'tests/forwarding',
    ),
    Safeguard(
        'an interrupted watch is not resumed',
        'guavagate/helpers/mirror.py',
        '        self._since = None\n        changes',
        '        changes',
        'tests/helpers/test_mirror.py',
    ),
    Safeguard(
        'a standby takes over from a relay with stale data',
        'guavagate/feeds/_relays.py',
        'since_message >= wait or age >= STALE_SECONDS',
        'since_message >= wait',
        'tests/feeds',
    ),
    Safeguard(
        'few instances call an unavailable store',
        'guavagate/feeds/_relays.py',
        'STANDBY_COUNT: Final = 5',
        'STANDBY_COUNT: Final = 99',
        'tests/feeds',
    ),
    Safeguard(
        'a standby follows relays of higher rank only',
        'guavagate/feeds/_feed.py',
        'self._has_fresh_relay(ranked[:rank])',
        'self._has_fresh_relay(ranked)',
        'tests/feeds',
    ),
    Safeguard(
        'a slow store is not considered lost',
        'guavagate/integrations/object_api/_peers.py',
        'PROBE_TIMEOUT_FACTOR: Final = 5',
        'PROBE_TIMEOUT_FACTOR: Final = 0',
        'tests/integrations',
    ),
    Safeguard(
        'an idle connection with unread data is not reused',
        'guavagate/http1/_answer.py',
        '        return not poller.poll(0)\n',
        '        return True\n',
        'tests/http1/test_pool.py',
    ),
    Safeguard(
        'a stop accepts pending connections',
        'guavagate/http1/_server.py',
        '            self._server.do_handle(*pending)\n',
        '            pending[0].close()\n',
        'tests/http1/test_stop.py',
    ),
    Safeguard(
        'a stop refuses new connections',
        'guavagate/http1/_server.py',
        '        self._server.close()\n\n    def _end_running',
        '        self._server.stop_accepting()\n\n    def _end_running',
        'tests/http1/test_stop.py',
    ),
    Safeguard(
        'a response that ends the connection announces it',
        'guavagate/http1/_exchange.py',
        '            self._connection.discard_body()\n'
        '            and not self._connection.is_closing()\n',
        '            not self._connection.is_closing()\n',
        'tests/http1/test_exchange.py',
    ),
    Safeguard(
        'a forwarded request has its target header',
        'guavagate/platform/_dialect.py',
        '            (const.TARGET, upstream.id.encode()),\n',
        '',
        'tests/platform/test_wire.py',
    ),
    Safeguard(
        'a restarted process requests the complete table',
        'guavagate/membership/_join.py',
        'if joined and not self._has_full_table:',
        'if False:',
        'tests/membership/test_detector.py',
    ),
)
