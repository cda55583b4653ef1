"""Tests of key checks while the configuration may be outdated."""

import math

import pytest

from guavagate.auth import (
    KeyRing,
    KeyState,
    ProofBounds,
    check_key,
    hash_token,
    make_bounds,
)
from guavagate.models import TeamId
from guavagate.ports.configuration import Team

_BOUNDS = make_bounds(3.0, 5.0, strict=True)
_RING = KeyRing(
    [
        Team(
            id=TeamId('blue'),
            key_hashes=(hash_token('key-1'), hash_token('key-2')),
        ),
        Team(id=TeamId('red'), key_hashes=(hash_token('key-3'),)),
    ]
)


def _check(*values: str, age: float = 0, bounds: ProofBounds = _BOUNDS) -> str:
    verdict = check_key(_RING, values, age, bounds)
    return f'{verdict.state.value} {verdict.team}'.strip()


def test_key_identifies_its_team() -> None:
    """All keys of a team identify it; the scheme is case-insensitive."""
    assert _check('Bearer key-1') == 'held blue'
    assert _check('bearer key-2') == 'held blue'
    assert _check('BEARER  key-3 ') == 'held red'


def test_configuration_without_teams_requires_no_key() -> None:
    """Credentials for the upstream itself are passed on unchanged."""
    verdict = check_key(KeyRing(), ['Basic x'], math.inf, _BOUNDS)
    assert verdict.state is KeyState.NOT_NEEDED


@pytest.mark.parametrize(
    'values',
    [
        (),
        ('',),
        ('Bearer',),
        ('Basic key-1',),
        ('key-1',),
        ('Bearer key-1', 'Bearer key-3'),
        (f'Bearer {"k" * 8192}',),
    ],
)
def test_header_without_key_is_reported_as_missing(
    values: tuple[str, ...],
) -> None:
    """With `unknown` the caller would request another key for nothing."""
    assert _check(*values) == 'missing'


def test_repeated_header_counts_once() -> None:
    """A proxy in between may repeat a header."""
    assert _check('Bearer key-1', 'Bearer key-1') == 'held blue'


def test_key_is_not_denied_without_recent_proof() -> None:
    """A newer configuration may contain a key that was just added."""
    assert _check('Bearer new', age=2.6) == 'unknown'
    assert _check('Bearer new', age=2.8) == 'unproven'
    assert _check(age=2.8) == 'unproven'


def test_revoked_key_is_not_accepted_after_its_bound() -> None:
    """An instance that is cut off still has the key in its configuration."""
    assert _check('Bearer key-1', age=4.4) == 'held blue'
    assert _check('Bearer key-1', age=4.6) == 'unproven'
    assert _check('Bearer key-1', age=math.inf) == 'unproven'


def test_cut_off_instance_serves_without_strict_revocation() -> None:
    """Without strict revocation an outage causes no refusals."""
    bounds = make_bounds(3.0, 5.0, strict=False)
    assert _check('Bearer key-1', age=60, bounds=bounds) == 'held blue'


def test_ring_stores_no_plain_key() -> None:
    """A dump of the process or of its state must not contain keys."""
    assert 'key-1' not in repr(vars(_RING))
