"""Manifests that the soak test writes as the operator."""

from typing import Any, Final

from standins.platform.topology import (
    BOUND_REGION,
    COLD_PER_SECOND,
    COLD_START_SECONDS,
)

TEAM: Final = 'blue'
PERMANENT_KEY: Final = 'key-that-stays'
# Upstreams answer it at once, also while they run requests.
HEALTH_PATH: Final = '/health'
# Routes whose requests stay in one region, and a route of plain requests to
# the samplers of the jobs.
BOUND_PATH: Final = '/near/'
BOUND_JOBS_PATH: Final = '/near-jobs/'
BURST_PATH: Final = '/burst/'
JOBS_PATH: Final = '/jobs/'
_REGIONS: Final = {'allowed-regions': [BOUND_REGION]}


def make_expiring_key(version: int) -> str:
    """Return a key that is valid in this version and the next one only."""
    return f'key-of-{version}'


def make_manifest(version: int, model: str) -> dict[str, Any]:
    """Return a manifest; each version has a route that only it defines."""
    common = {'host': 'soak.example', 'target-latency-ms': 200}
    routes: list[dict[str, Any]] = [
        {'path-prefix': '/ask/', 'route-type': 'idempotent'},
        {'path-prefix': '/file/', 'route-type': 'non_idempotent'},
        {'path-prefix': f'/v{version}/', 'route-type': 'idempotent'},
        {'path-prefix': BOUND_PATH, 'route-type': 'idempotent', **_REGIONS},
        {
            'path-prefix': BURST_PATH,
            'route-type': 'idempotent',
            'service': 'llm',
        },
    ]
    plain = [
        {
            **common,
            'service': 'desk',
            **route,
            'name': f'r{number}',
            'timeout-ms': 1500,
            'max-attempts': 2,
        }
        for number, route in enumerate(routes)
    ]
    jobs = {
        **common,
        'name': 'jobs',
        'path-prefix': JOBS_PATH,
        'route-type': 'rollout',
        'service': 'llm',
        'timeout-ms': 10_000,
        'max-attempts': 3,
        'item-ttl-s': 300,
        'target-run-ms': 7500,
    }
    bound_jobs = {
        **jobs,
        **_REGIONS,
        'name': 'near-jobs',
        'path-prefix': BOUND_JOBS_PATH,
    }
    engine = {'slots': 6, 'models': [{'name': model}]}
    return {
        'version': version,
        'routes': [*plain, jobs, bound_jobs],
        'services': [
            {
                'name': 'llm',
                'engine': engine,
                'cold-per-s': COLD_PER_SECOND,
                'cold-start-s': COLD_START_SECONDS,
            },
            {'name': 'desk', 'health-path': HEALTH_PATH},
        ],
        'tenants': [
            {
                'name': TEAM,
                'api-keys': [
                    PERMANENT_KEY,
                    make_expiring_key(version - 1),
                    make_expiring_key(version),
                ],
            }
        ],
    }
