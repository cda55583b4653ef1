"""Safeguards of what operators see of zones, and of the soak's checks."""

from typing import Final

from standins._safeguard_rows import Safeguard

_VIEW: Final = 'guavagate/zone_view/_view.py'
_TEST_VIEW: Final = 'tests/zone_view/test_view.py'
_COMMAND: Final = 'guavagate/cli/_zones.py'
_TEST_COMMAND: Final = 'tests/test_cli_zones.py'
_CHECKS: Final = 'standins/platform/zone_checks.py'
_TEST_CHECKS: Final = 'tests/standins/test_zone_checks.py'

ZONE_SAFEGUARDS: Final = (
    Safeguard(
        'an evacuation keeps its age while it lasts',
        _VIEW,
        'self.since.get(key, now)',
        'now',
        _TEST_VIEW,
    ),
    Safeguard(
        'a zone that only registrations name is listed',
        _VIEW,
        '            *(each.zone for each in upstreams),\n',
        '',
        _TEST_VIEW,
    ),
    Safeguard(
        'the gauges of an ended evacuation are removed',
        'guavagate/zone_view/_gauges.py',
        'metrics.clear(metric)',
        'continue',
        _TEST_VIEW,
    ),
    Safeguard(
        'an instance that follows other evacuations is reported',
        _COMMAND,
        'if body.missing or not _do_agree(body.zones):',
        'if body.missing:',
        _TEST_COMMAND,
    ),
    Safeguard(
        'an instance without an answer is reported',
        _COMMAND,
        'if body.missing or not _do_agree(body.zones):',
        'if not _do_agree(body.zones):',
        _TEST_COMMAND,
    ),
    Safeguard(
        'the soak finds what reaches an evacuated zone',
        _CHECKS,
        'if not deadline < arrival.at < evacuation.until:',
        'if arrival.kind.value != "run" or arrival.at < deadline:',
        _TEST_CHECKS,
    ),
    Safeguard(
        'a store fault during an evacuation excuses nothing',
        _CHECKS,
        'if since <= at <= deadline:',
        'if since <= at:',
        _TEST_CHECKS,
    ),
    Safeguard(
        'the soak counts in any second, not in each full one',
        _CHECKS,
        'first = bisect_left(times, at - _WINDOW_SECONDS)',
        'first = bisect_left(times, int(at))',
        _TEST_CHECKS,
    ),
    Safeguard(
        'the soak checks rewards of bound items',
        'standins/platform/topology.py',
        "name.removeprefix('w-').startswith",
        'name.startswith',
        _TEST_CHECKS,
    ),
)
