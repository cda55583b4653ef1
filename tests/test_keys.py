"""Who may ask by which key, while the configuration may be an old one."""

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


def _judge(*values: str, age: float = 0, bounds: ProofBounds = _BOUNDS) -> str:
    verdict = check_key(_RING, values, age, bounds)
    return f'{verdict.state.value} {verdict.team}'.strip()


def test_a_key_names_its_team() -> None:
    """Both of a team's keys are the team's, whatever the scheme's case."""
    assert _judge('Bearer key-1') == 'held blue'
    assert _judge('bearer key-2') == 'held blue'
    assert _judge('BEARER  key-3 ') == 'held red'


def test_a_configuration_without_teams_asks_for_no_key() -> None:
    """An upstream's own credentials go on untouched there."""
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
def test_what_is_no_key_is_told_as_such(values: tuple[str, ...]) -> None:
    """A caller that is told `unknown` would ask for another key in vain."""
    assert _judge(*values) == 'missing'


def test_the_same_key_twice_is_one_key() -> None:
    """A proxy on the way may repeat a header."""
    assert _judge('Bearer key-1', 'Bearer key-1') == 'held blue'


def test_a_key_that_was_added_a_moment_ago_meets_no_denial() -> None:
    """The newest configuration may know it; this instance can not tell."""
    assert _judge('Bearer new', age=2.6) == 'unknown'
    assert _judge('Bearer new', age=2.8) == 'unproven'
    assert _judge(age=2.8) == 'unproven'


def test_a_key_that_was_taken_away_runs_nothing_after_its_bound() -> None:
    """An instance that is cut off still holds the key."""
    assert _judge('Bearer key-1', age=4.4) == 'held blue'
    assert _judge('Bearer key-1', age=4.6) == 'unproven'
    assert _judge('Bearer key-1', age=math.inf) == 'unproven'


def test_where_revocation_is_not_strict_cut_off_instances_serve() -> None:
    """Operators that did not ask for it get no refusals in an outage."""
    bounds = make_bounds(3.0, 5.0, strict=False)
    assert _judge('Bearer key-1', age=60, bounds=bounds) == 'held blue'


def test_a_ring_keeps_no_key() -> None:
    """A dump of the process or of its state must not show one."""
    assert 'key-1' not in repr(vars(_RING))
