"""Mutations of the choice of an upstream and the refusal in outages."""

from typing import Final

from standins._safeguard_rows import Safeguard

_OUTAGES: Final = 'guavagate/forwarding/_outages.py'
_OUTAGE_TEST: Final = 'tests/forwarding/test_outages.py'
_NOTICE_TEST: Final = _OUTAGE_TEST
_PROBE_TEST: Final = 'tests/routing/test_failed_probes.py'
_SLOWDOWN_TEST: Final = 'tests/routing/test_slowdown.py'
_CHOICE: Final = 'guavagate/routing/_choice.py'
_FORWARD: Final = 'guavagate/forwarding/_forward.py'

ROUTING_SAFEGUARDS: Final = (
    Safeguard(
        'the weight of a slowdown decays',
        _CHOICE,
        'weight = 1 - (now - load.report_at) / SLOWDOWN_MAX_AGE_SECONDS',
        'weight = 1',
        _SLOWDOWN_TEST,
    ),
    Safeguard(
        'a false slowdown is bounded',
        _CHOICE,
        'slowdown = min(max(load.report.slowdown, low), high)',
        'slowdown = load.report.slowdown',
        _SLOWDOWN_TEST,
    ),
    Safeguard(
        'instances with the same report spread',
        _CHOICE,
        'pair = rng.sample(equal, min(len(equal), 2))',
        'pair = equal',
        _SLOWDOWN_TEST,
    ),
    Safeguard(
        'streams ignore slowdowns',
        _CHOICE,
        '0 if lasting else score_slowdown',
        'score_slowdown',
        _SLOWDOWN_TEST,
    ),
    Safeguard(
        'an answer counts more than an earlier failed probe',
        _CHOICE,
        'return fresh and load.probe_failed_at > load.answered_at',
        'return fresh',
        _PROBE_TEST,
    ),
    Safeguard(
        'a probe sent before an answer tells nothing',
        'guavagate/routing/_loads.py',
        'if load.answered_at >= sent_at:',
        'if False:',
        _PROBE_TEST,
    ),
    Safeguard(
        'Retry-After is spread',
        'guavagate/routing/_outage.py',
        'rng.uniform(*RETRY_SPREAD)',
        '1',
        _PROBE_TEST,
    ),
    Safeguard(
        'a non-idempotent request waits for its answer',
        _FORWARD,
        '        if not progress.may_repeat:\n            return None\n',
        '',
        _OUTAGE_TEST,
    ),
    Safeguard(
        'an idempotent request ends once all upstreams fail probes',
        _FORWARD,
        'if finding is Finding.UNRESPONSIVE:',
        'if False:',
        _OUTAGE_TEST,
    ),
    Safeguard(
        'checks over new connections have a budget',
        _OUTAGES,
        'began_at) and self._budget.spend():',
        'began_at):',
        _OUTAGE_TEST,
    ),
    Safeguard(
        "a former process's probe does not count for the present one",
        _OUTAGES,
        'if registered is None or not _is_same_process(registered, upstream):',
        'if registered is None:',
        _OUTAGE_TEST,
    ),
    Safeguard(
        "another instance's notice is confirmed by a probe",
        _OUTAGES,
        '            hint.refuted_at = self._clock.now()\n',
        '            hint.confirmed_at = self._clock.now()\n',
        _NOTICE_TEST,
    ),
    Safeguard(
        'the finder says when the service works again',
        _OUTAGES,
        'self._notices.send(service, unresponsive=False)',
        'pass',
        _NOTICE_TEST,
    ),
    Safeguard(
        'one of several finders goes on probing',
        _OUTAGES,
        '            self._watched.discard(service)\n\n    def _find_hint',
        '            pass\n\n    def _find_hint',
        _NOTICE_TEST,
    ),
    Safeguard(
        'a time-out of a suspended process tells nothing',
        'guavagate/forwarding/_probes.py',
        'suspended = late > SUSPENDED_SECONDS',
        'suspended = False',
        'tests/forwarding/test_probes.py',
    ),
    Safeguard(
        'probes that keep connections are paid for by answers',
        'guavagate/forwarding/_keep_alive.py',
        'if probes < MAX_PROBES:',
        'if True:',
        'tests/forwarding/test_keep_alive.py',
    ),
    Safeguard(
        'a bad figure is left out alone',
        'guavagate/platform/_dialect.py',
        'return parse_whole_number(text.strip(), _MAX_DIGITS)',
        'return int(text.strip())',
        'tests/platform/test_load_header.py',
    ),
)
