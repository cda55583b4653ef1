"""Mutations of admission control at entries, and of slow callers."""

from typing import Final

from standins._safeguard_rows import Safeguard

ADMISSION_SAFEGUARDS: Final = (
    Safeguard(
        'a caller that takes nothing is cut off',
        'guavagate/http1/_caller_writer.py',
        'elif now - self._progress_at >= self._idle_timeout:',
        'elif False:',
        'tests/http1/test_slow_callers.py',
    ),
    Safeguard(
        'a slow caller that makes progress is not cut off',
        'guavagate/http1/_caller_writer.py',
        'self._clock.timeout(CHECK_SECONDS, _NotWritableError)',
        'self._clock.timeout(self._idle_timeout, _NotWritableError)',
        'tests/http1/test_slow_callers.py',
    ),
    Safeguard(
        'the kernel allows callers the idle timeout',
        'guavagate/http1/_sockets.py',
        'millis = max(int(idle_timeout * 1000), UNACKNOWLEDGED_MILLIS)',
        'millis = UNACKNOWLEDGED_MILLIS',
        'tests/http1/test_slow_callers.py',
    ),
    Safeguard(
        'a caller that is still sending can read its refusal',
        'guavagate/http1/_caller_connection.py',
        '            if self._may_be_sending():\n'
        '                self._discard_rest()\n',
        '',
        'tests/http1/test_slow_callers.py',
    ),
    Safeguard(
        'a stop waits for callers that make progress only',
        'guavagate/http1/_server.py',
        'connection.writer.is_stalled(STOP_STALL_SECONDS)',
        'False',
        'tests/http1/test_slow_callers.py',
    ),
    Safeguard(
        "a caller that leaves is not its upstream's failure",
        'guavagate/forwarding/_stream.py',
        'if progress.exchange.disconnected.is_set():',
        'if False:',
        'tests/forwarding/test_slow_streams.py',
    ),
    Safeguard(
        'small requests go on beside large bodies',
        'guavagate/admission/_memory.py',
        'share = 1 if size <= SMALL_BODY_BYTES else LARGE_SHARE',
        'share = 1',
        'tests/admission/test_memory.py',
    ),
    Safeguard(
        'the memory limit of the settings is kept',
        'guavagate/admission/_entry.py',
        'MemoryBudget(compute_budget(megabytes))',
        'MemoryBudget()',
        'tests/admission/test_entry_memory.py',
    ),
    Safeguard(
        'a request releases the memory that it held',
        'guavagate/http1/_server.py',
        '        exchange.account.close()\n',
        '',
        'tests/admission/test_memory.py',
    ),
    Safeguard(
        'an answer counts while it waits for its caller',
        'guavagate/http1/_exchange.py',
        'connection.writer.on_size = self.account.hold_answer',
        'connection.writer.on_size = None',
        'tests/admission/test_memory.py',
    ),
    Safeguard(
        'higher priorities go first',
        'guavagate/admission/_grants.py',
        'sorted(self._queues.items())',
        'sorted(self._queues.items(), reverse=True)',
        'tests/admission/test_fair_load.py',
    ),
    Safeguard(
        "a team's priority goes before its route's",
        'guavagate/admission/_permissions.py',
        'if each.id == team and each.priority is not None:',
        'if False:',
        'tests/admission/test_fair_load.py',
    ),
    Safeguard(
        'teams get fair shares',
        'guavagate/admission/_grants.py',
        'return (ask.team,)',
        "return ('',)",
        'tests/admission/test_fair_load.py',
    ),
    Safeguard(
        'what can not start in time is refused at once',
        'guavagate/admission/_grants.py',
        'now + corrected > latest_start',
        'False',
        'tests/admission/test_fair_load.py',
    ),
    Safeguard(
        'a request that finds all upstreams full may wait',
        'guavagate/front/_requests.py',
        'return outcome, full and not permission.without_owner',
        'return outcome, False',
        'tests/admission/test_fair_load.py',
    ),
    Safeguard(
        'a lost grant ends',
        'guavagate/admission/_grants.py',
        'if grant.until <= now:',
        'if False:',
        'tests/admission/test_fair_failures.py',
    ),
    Safeguard(
        'an owner that did not reply is left out for a while',
        'guavagate/admission/_permissions.py',
        'self._silent_until[owner] = now + SILENCE_SECONDS',
        'self._silent_until[owner] = now',
        'tests/admission/test_fair_failures.py',
    ),
    Safeguard(
        'an entry asks again for a lost verdict',
        'guavagate/admission/_permissions.py',
        'wait_for(self._clock, pending.changed, recheck)',
        'pending.changed.wait()',
        'tests/admission/test_fair_failures.py',
    ),
    Safeguard(
        'a caller that leaves frees its place',
        'guavagate/admission/_permissions.py',
        '            release(refused=False)\n',
        '',
        'tests/admission/test_fair_failures.py',
    ),
    Safeguard(
        'an old report is no sign of saturation',
        'guavagate/admission/_saturation.py',
        'return self.slots > 0 and age < REPORT_MAX_AGE_SECONDS',
        'return self.slots > 0',
        'tests/admission/test_fair_failures.py',
    ),
)
