"""Mutations that each remove one safeguard of keys, usage and scaling."""

from typing import Final

from standins._safeguard_rows import Safeguard

TEAM_SAFEGUARDS: Final = (
    Safeguard(
        'a key is accepted only with a recent proof',
        'guavagate/auth/_keys.py',
        '        if proof_age < bounds.accept:\n',
        '        if True:\n',
        'tests/test_keys.py',
    ),
    Safeguard(
        'no key is denied with an old proof',
        'guavagate/auth/_keys.py',
        '    if not may_deny(proof_age, bounds):\n',
        '    if False:\n',
        'tests/test_keys.py',
    ),
    Safeguard(
        'no route is denied with an old proof',
        'guavagate/front/_authenticator.py',
        'proved = may_deny(self._proof_age(), self._bounds)',
        'proved = True',
        'tests/platform/test_edge_keys.py',
    ),
    Safeguard(
        'a relay sends its proof as a time of its own clock',
        'guavagate/feeds/_proof.py',
        '        self.record_own(proved_at + offset)\n',
        '        self.record_own(self._now() - (clock - proved_at))\n',
        'tests/feeds/test_proof.py',
    ),
    Safeguard(
        'a proof is as old as its request',
        'guavagate/feeds/_feed.py',
        '        requested_at = self._boot_clock()\n'
        '        try:\n            stored',
        '        requested_at = self._boot_clock() + 3600\n'
        '        try:\n            stored',
        'tests/feeds/test_feed_proof.py',
    ),
    Safeguard(
        'a watch alone proves nothing',
        'guavagate/feeds/_feed.py',
        'watch_proves=not (proves and self._proof_path)',
        'watch_proves=True',
        'tests/feeds/test_feed_proof.py',
    ),
    Safeguard(
        'an unreadable configuration leaves no proof',
        'guavagate/feeds/_proof.py',
        '        if self.at is None or self._invalid:\n',
        '        if self.at is None:\n',
        'tests/feeds/test_proof.py',
    ),
    Safeguard(
        'no key is forwarded to an upstream',
        'guavagate/platform/_dialect.py',
        'each[0].lower() in _CREDENTIALS)',
        'False)',
        'tests/platform/test_edge_keys.py',
    ),
    Safeguard(
        "a caller's team header is replaced",
        'guavagate/platform/_dialect.py',
        '        const.TENANT.lower(),\n    )\n)',
        '    )\n)',
        'tests/platform/test_edge_keys.py',
    ),
    Safeguard(
        "another team's job is reported as missing",
        'guavagate/jobs/_models.py',
        'return not self.team or self.team == team',
        'return True',
        'tests/jobs/records/test_teams.py',
    ),
    Safeguard(
        'a usage window is reported with one content',
        'guavagate/duties/_reporter.py',
        'own if existing is None else _decode(existing)',
        'own',
        'tests/duties/test_reporter.py',
    ),
    Safeguard(
        "a successor reporter waits for its predecessor's reports",
        'guavagate/duties/_reporter.py',
        '            acquire_for_orders(self._lease, self._clock)\n'
        '        if not self._lease.may_order():\n'
        '            return\n',
        '            self._lease.acquire_or_renew()\n',
        'tests/duties/test_reporter.py',
    ),
    Safeguard(
        'a total that arrives twice adds nothing',
        'guavagate/duties/_totals.py',
        'self._windows[window][source] = counts\n',
        'self._windows[window][f"{source}{len(known)}"] = counts\n',
        'tests/duties/test_counts.py',
    ),
    Safeguard(
        'the cluster clock is the median of all clocks',
        'guavagate/duties/_cluster_clock.py',
        'return statistics.median([own, *self._others.values()])',
        'return own',
        'tests/duties/test_cluster_clock.py',
    ),
    Safeguard(
        'registered upstreams are not scaled in',
        'guavagate/duties/_scaler.py',
        'self._baseline[zone] = max(self._baseline.get(zone, 0), regular)',
        'self._baseline.setdefault(zone, regular)',
        'tests/duties/test_scaler.py',
    ),
    Safeguard(
        'tasks that share a lease renew it one at a time',
        'guavagate/rollouts/_lease.py',
        '        with self._lock:\n',
        '        if True:\n',
        'tests/rollouts/test_lease.py',
    ),
)
