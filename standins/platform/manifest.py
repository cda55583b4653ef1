"""Manifests that the soak test writes as the operator."""

from typing import Any, Final

TEAM: Final = 'blue'
PERMANENT_KEY: Final = 'key-that-stays'
# Upstreams answer it at once, also while they run requests.
HEALTH_PATH: Final = '/health'


def make_expiring_key(version: int) -> str:
    """Return a key that is valid in this version and the next one only."""
    return f'key-of-{version}'


def make_manifest(version: int, model: str) -> dict[str, Any]:
    """Return a manifest; each version has a route that only it defines."""
    common = {'host': 'soak.example', 'target-latency-ms': 200}
    routes = [
        {'path-prefix': '/ask/', 'route-type': 'idempotent'},
        {'path-prefix': '/file/', 'route-type': 'non_idempotent'},
        {'path-prefix': f'/v{version}/', 'route-type': 'idempotent'},
    ]
    plain = [
        {
            **common,
            **route,
            'name': f'r{number}',
            'service': 'desk',
            'timeout-ms': 1500,
            'max-attempts': 2,
        }
        for number, route in enumerate(routes)
    ]
    jobs = {
        **common,
        'name': 'jobs',
        'path-prefix': '/jobs/',
        'route-type': 'rollout',
        'service': 'llm',
        'timeout-ms': 10_000,
        'max-attempts': 3,
        'item-ttl-s': 300,
        'target-run-ms': 7500,
    }
    engine = {'slots': 6, 'models': [{'name': model}]}
    return {
        'version': version,
        'routes': [*plain, jobs],
        'services': [
            {'name': 'llm', 'engine': engine},
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
