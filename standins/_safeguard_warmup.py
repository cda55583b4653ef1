"""Mutations of the limits on starts at cold upstreams."""

from typing import Final

from standins._safeguard_rows import Safeguard

_LIMITS: Final = 'guavagate/warmup/_limits.py'
_STARTS: Final = 'guavagate/warmup/_starts.py'
_GRANTS: Final = 'guavagate/warmup/_grants.py'
_COLD: Final = 'guavagate/warmup/_cold.py'
_LIMITER_TEST: Final = 'tests/warmup/test_limiter.py'
_ITEMS_TEST: Final = 'tests/warmup/test_items.py'
_GRANTS_TEST: Final = 'tests/warmup/test_grants.py'
_COLD_TEST: Final = 'tests/warmup/test_cold.py'
_SOLE_TEST: Final = 'tests/warmup/test_sole.py'

WARMUP_SAFEGUARDS: Final = (
    Safeguard(
        'what two holders may use adds up to the bound',
        _LIMITS,
        'HolderRole.SOLE: max(total - shared, 1),',
        'HolderRole.SOLE: total,',
        _LIMITER_TEST,
    ),
    Safeguard(
        'equal holders share the bound',
        _LIMITS,
        'HolderRole.EQUAL: half,',
        'HolderRole.EQUAL: total,',
        _GRANTS_TEST,
    ),
    Safeguard(
        'a new holder counts the second before as spent',
        _LIMITS,
        'if held >= WINDOW_SECONDS:',
        'if True:',
        _ITEMS_TEST,
    ),
    Safeguard(
        'a takeover is noticed',
        _STARTS,
        '            self._held_since = self._clock.now()\n',
        '            pass\n',
        _GRANTS_TEST,
    ),
    Safeguard(
        'each start of an item is counted',
        'guavagate/jobs/scheduling/_dispatch.py',
        'if limits is not None and not limits.start(upstream.id, starts_at):',
        'if limits is None:',
        _ITEMS_TEST,
    ),
    Safeguard(
        'the schedule knows how many starts are left',
        'guavagate/jobs/scheduling/_slots.py',
        '    sampler.free -= sampler.held_back\n',
        '',
        _ITEMS_TEST,
    ),
    Safeguard(
        'items use warm samplers first',
        'guavagate/jobs/scheduling/_schedule.py',
        'bonus -= COLD_COST',
        'bonus -= 0',
        _ITEMS_TEST,
    ),
    Safeguard(
        'a sampler that refuses is asked less and less often',
        'guavagate/jobs/texts/_runner.py',
        'backoff *= 2 ** min(',
        'backoff *= 1 ** min(',
        _ITEMS_TEST,
    ),
    Safeguard(
        'the forecast counts what the limit leaves',
        'guavagate/jobs/scheduling/_slots.py',
        'used = min(used, sampler.rate * text_seconds[model])',
        'used = min(used, sampler.slots)',
        _ITEMS_TEST,
    ),
    Safeguard(
        'a permit ends soon',
        'guavagate/warmup/_permits.py',
        'if permits.popleft() >= now:',
        'if permits.popleft():',
        _ITEMS_TEST,
    ),
    Safeguard(
        'a path that asks nobody is stopped',
        'guavagate/warmup/_permits.py',
        '        return False\n',
        '        return True\n',
        _GRANTS_TEST,
    ),
    Safeguard(
        'without a holder nothing goes to a cold upstream',
        _GRANTS,
        'if upstream not in cold and self._alone.take(upstream, now):',
        'if self._alone.take(upstream, now):',
        _GRANTS_TEST,
    ),
    Safeguard(
        'only the holder grants',
        'guavagate/warmup/_holder.py',
        'if not starts.held or not starts.applies():',
        'if not starts.applies():',
        _GRANTS_TEST,
    ),
    Safeguard(
        'a hedge never goes to a cold upstream',
        _STARTS,
        'excluded = warm_only and self.is_cold(upstream, now)',
        'excluded = False',
        _GRANTS_TEST,
    ),
    Safeguard(
        'an ejected upstream is not offered',
        _GRANTS,
        'sorted(group & healthy - {best.id})',
        'sorted(group - {best.id})',
        _GRANTS_TEST,
    ),
    Safeguard(
        'refused callers return one after the other',
        _STARTS,
        'turn = self._last_return + 1 / rate if rate else now',
        'turn = now',
        _GRANTS_TEST,
    ),
    Safeguard(
        'a restarted upstream is cold',
        _COLD,
        'return ColdReason.RESTARTED',
        'return None',
        _COLD_TEST,
    ),
    Safeguard(
        'an upstream back after a gap is cold',
        _COLD,
        'return ColdReason.RETURNED if previous is None else None',
        'return None',
        _COLD_TEST,
    ),
    Safeguard(
        'a late registration does not tell that a new start is warm',
        _COLD,
        'if upstream.incarnation < known.incarnation:',
        'if False:',
        _COLD_TEST,
    ),
    Safeguard(
        'upstreams of a returned zone are cold',
        'guavagate/warmup/_cold_watch.py',
        'self._upstreams.subscribe_zone_returns(self._record_zone_return)',
        'pass',
        _COLD_TEST,
    ),
    Safeguard(
        'the proof of a sole holder ends in time',
        'guavagate/rollouts/_lease.py',
        'self._renewed_at + full - margin',
        'self._renewed_at + full',
        _SOLE_TEST,
    ),
    Safeguard(
        'the lease is renewed while a warm-up applies',
        'guavagate/warmup/_sole.py',
        '            if self._applies():\n',
        '            if False:\n',
        _SOLE_TEST,
    ),
    Safeguard(
        'the owner uses the proof by its lease',
        'guavagate/service.py',
        '            starts.is_sole = proof.is_sole\n',
        '',
        'tests/warmup/test_wiring.py',
    ),
    Safeguard(
        'a start whose permit ended is counted anew',
        _GRANTS,
        'return starts.held and starts.retake(',
        'return starts.held or starts.retake(',
        _ITEMS_TEST,
    ),
    Safeguard(
        'an instance that has just started grants nothing',
        'guavagate/warmup/_holder.py',
        'return self._turns.ready and in_turn',
        'return in_turn',
        _GRANTS_TEST,
    ),
)
