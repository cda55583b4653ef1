"""Mutations that each remove one safeguard of the evacuation of zones."""

from typing import Final

from standins._safeguard_rows import Safeguard

_EVACUATIONS: Final = 'guavagate/evacuation/_evacuations.py'
_FOLLOWED: Final = 'tests/evacuation/test_evacuations.py'
_ZONES: Final = 'tests/evacuation/test_zones.py'
_SCALING: Final = 'tests/duties/test_evacuations.py'
_TEXTS: Final = 'tests/jobs/scheduling/test_evacuations.py'
_ORDERS: Final = 'tests/rollouts/test_evacuations.py'
_REQUESTS: Final = 'tests/forwarding/test_evacuations.py'

EVACUATION_SAFEGUARDS: Final = (
    Safeguard(
        'an evacuation takes effect',
        _EVACUATIONS,
        'set_evacuated(self._zones.ids, awaited',
        'set_evacuated(frozenset(), awaited',
        _FOLLOWED,
    ),
    Safeguard(
        'an instance that starts uses no zone before it knows the evacuations',
        _EVACUATIONS,
        'self._awaited = True\n        self._apply()\n',
        'self._apply()\n',
        _FOLLOWED,
    ),
    Safeguard(
        'an instance that was suspended catches up before it sends',
        'guavagate/routing/_upstreams.py',
        'if obstacle is None and self.eligibility.may_be_outdated():',
        'if False:',
        _FOLLOWED,
    ),
    Safeguard(
        'an instance that was suspended and is cut off goes on',
        'guavagate/evacuation/_suspension.py',
        ' or now - self._resumed_at > MAX_HOLD_SECONDS',
        '',
        'tests/evacuation/test_suspension.py',
    ),
    Safeguard(
        'connections that running requests return are closed',
        _EVACUATIONS,
        '            self._close_connections()\n            self._report',
        '            self._report',
        _FOLLOWED,
    ),
    Safeguard(
        'an unknown zone is reported once',
        'guavagate/evacuation/_zones.py',
        '            each.reported = True\n',
        '            pass\n',
        _ZONES,
    ),
    Safeguard(
        'a watch that misses an evacuation ends soon',
        'guavagate/feeds/_timing.py',
        'if later and not urgent else',
        'if later else',
        _FOLLOWED,
    ),
    Safeguard(
        'the age of a relay includes that of the evacuations',
        'guavagate/feeds/_relay.py',
        'if prefix not in self._later or prefix in self._urgent',
        'if prefix not in self._later',
        _FOLLOWED,
    ),
    Safeguard(
        'a missed removal is seen whenever another prefix was confirmed',
        'guavagate/feeds/_follower.py',
        'snapshot.revisions.get(\n'
        '                    prefix, snapshot.later_revision\n'
        '                )',
        'Revision(0)',
        _FOLLOWED,
    ),
    Safeguard(
        'a late removal does not remove the next creation',
        'guavagate/feeds/_table.py',
        'if known is not None and current.version > known:',
        'if False:',
        _ZONES,
    ),
    Safeguard(
        'nothing is ordered or given back in an evacuated zone',
        'guavagate/duties/_targets.py',
        'if each not in replaced]',
        'if True]',
        _SCALING,
    ),
    Safeguard(
        'replacements stay until the zone is warm',
        'guavagate/duties/_replaced.py',
        'at + RETURN_SECONDS, known_at',
        'at, known_at',
        _SCALING,
    ),
    Safeguard(
        'a new owner orders nothing in a zone that returns',
        'guavagate/duties/_replaced.py',
        'at + RETURN_SECONDS, known_at',
        'at + RETURN_SECONDS, 0',
        _SCALING,
    ),
    Safeguard(
        'the zones left need no spare capacity for another one',
        'guavagate/duties/_targets.py',
        'spare = 1 if len(zones) == len(baseline) else 0',
        'spare = 1',
        _SCALING,
    ),
    Safeguard(
        'a text may leave a slow sampler of an evacuated zone',
        'guavagate/jobs/scheduling/_moves.py',
        'for sampler in (*samplers, *sources)',
        'for sampler in samplers',
        _TEXTS,
    ),
    Safeguard(
        'a sampler of an evacuated zone is no target of a move',
        'guavagate/jobs/scheduling/_sources.py',
        'free=0,',
        'free=1,',
        _TEXTS,
    ),
    Safeguard(
        'an unresponsive sampler is not probed in an evacuated zone',
        'guavagate/jobs/scheduling/_dispatch.py',
        'if self._upstreams.find_obstacle(upstream) is not None:',
        'if False:',
        _TEXTS,
    ),
    Safeguard(
        'an order that the evacuation ended is not blamed on the sampler',
        'guavagate/rollouts/_coordinator.py',
        '        except UpstreamExcludedError as error:\n',
        '        except ZeroDivisionError as error:\n',
        _ORDERS,
    ),
    Safeguard(
        'a request that the check stops ejects no upstream',
        'guavagate/forwarding/_attempt.py',
        'if not isinstance(error, UpstreamExcludedError):',
        'if True:',
        _REQUESTS,
    ),
    Safeguard(
        'no probe keeps a connection to an evacuated zone',
        'guavagate/forwarding/_keep_alive.py',
        '        if self._upstreams.find_obstacle(upstream) is not None:\n'
        '            return\n',
        '',
        _REQUESTS,
    ),
    Safeguard(
        'an instance keeps no objects that it does not follow',
        'guavagate/feeds/_follower.py',
        'if find_prefix(change.entry.path) in self._prefixes:',
        'if True:',
        _FOLLOWED,
    ),
)
