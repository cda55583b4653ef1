"""Tests of the operators' HTTP, judged by what an operator receives."""

import pytest

from guavagate.models import InstanceId, TeamId
from tests.operators_bench import (
    FLEET_TOKEN,
    OTHER_TOKEN,
    TEAM_TOKEN,
    Bench,
    team_text,
)

_SETTINGS = '/v1/operators/settings'


@pytest.fixture
def bench() -> Bench:
    """Return instances on which two teams have settings."""
    made = Bench()
    for team, token in (('authority', TEAM_TOKEN), ('trust', OTHER_TOKEN)):
        answer = made.apply(team, FLEET_TOKEN, 0, team_text(team, token))
        assert answer.status_code == 200
    made.clock.advance(3)
    return made


def test_a_change_comes_with_its_history_and_can_be_undone(
    bench: Bench,
) -> None:
    """Change, look, roll back: each step is a revision with a reason."""
    text = team_text('authority', TEAM_TOKEN, 3)
    changed = bench.apply('authority', TEAM_TOKEN, 1, text)
    assert changed.json['change']['revision'] == 2
    assert changed.json['change']['who'] == 'authority-op'
    diff = bench.call('GET', f'{_SETTINGS}/authority/diff', TEAM_TOKEN)
    assert '-weight = 1' in diff.json['diff']
    assert '+weight = 3' in diff.json['diff']
    back = bench.call(
        'POST',
        f'{_SETTINGS}/authority/rollback',
        TEAM_TOKEN,
        {'to': 1, 'base': 2, 'why': 'too much'},
    )
    assert back.json['toml'] == team_text('authority', TEAM_TOKEN)
    history = bench.call('GET', f'{_SETTINGS}/authority/history', TEAM_TOKEN)
    reasons = [each['why'] for each in history.json['changes']]
    assert reasons == ['back to revision 1: too much', 'a test', 'a test']
    status = bench.call('GET', f'{_SETTINGS}/authority/status', TEAM_TOKEN)
    assert status.json['newest'] == 3
    assert len(status.json['instances']) == 3


def test_a_conflict_shows_the_other_change(bench: Bench) -> None:
    """The later of two operators gets 409 with who, why and the new text."""
    text = team_text('authority', TEAM_TOKEN, 3)
    assert bench.apply('authority', TEAM_TOKEN, 1, text).status_code == 200
    refused = bench.apply('authority', FLEET_TOKEN, 1, text)
    assert refused.status_code == 409
    error = refused.json['error']
    assert error['other']['who'] == 'authority-op'
    assert error['toml'] == text
    assert error['remedy']


def test_every_problem_of_a_text_is_in_the_answer(bench: Bench) -> None:
    """Two mistakes give two problems; nothing is applied."""
    text = 'team = "authority"\nwieght = 2\ncallers = 4\n'
    refused = bench.apply('authority', TEAM_TOKEN, 1, text)
    assert refused.status_code == 422
    assert len(refused.json['error']['problems']) == 2
    checked = bench.call(
        'POST',
        f'{_SETTINGS}/authority/check',
        TEAM_TOKEN,
        {'toml': team_text('authority', TEAM_TOKEN, 9)},
    )
    assert '+weight = 9' in checked.json['diff']
    assert bench.fleet.teams['i0'].table.revision(TeamId('authority')) == 1


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', f'{_SETTINGS}/trust'),
        ('PUT', f'{_SETTINGS}/trust'),
        ('GET', f'{_SETTINGS}/trust/history'),
        ('GET', f'{_SETTINGS}/trust/diff'),
        ('GET', f'{_SETTINGS}/trust/status'),
        ('POST', f'{_SETTINGS}/trust/rollback'),
        ('POST', f'{_SETTINGS}/trust/check'),
        ('POST', '/v1/operators/instances/i1/drain'),
        ('GET', '/v1/operators/explain/settings/trust/1'),
        ('GET', '/v1/operators/series'),
    ],
)
def test_a_token_of_one_team_opens_nothing_of_another(
    bench: Bench, method: str, path: str
) -> None:
    """Whatever is sent: 403 with the team's token, 401 with an unknown."""
    assert bench.call(method, path, TEAM_TOKEN, {}).status_code == 403
    assert bench.call(method, path, 'guess', {}).status_code == 401


def test_lists_are_narrowed_to_the_team(bench: Bench) -> None:
    """A team sees its own samplers, runs and settings, the fleet sees all."""
    for path, key in (('samplers', 'samplers'), ('runs', 'runs')):
        own = bench.call('GET', f'/v1/operators/{path}', OTHER_TOKEN)
        everything = bench.call('GET', f'/v1/operators/{path}')
        assert all(row['team'] == 'trust' for row in own.json[key])
        assert len(own.json[key]) < len(everything.json[key])
    own = bench.call('GET', _SETTINGS, OTHER_TOKEN)
    assert [row['team'] for row in own.json] == ['trust']
    deployments = bench.call('GET', '/v1/operators/deployments').json
    assert [row['running'] for row in deployments['deployments']] == [9, 9]


def test_a_silent_instance_is_named_not_left_out(bench: Bench) -> None:
    """One of three is paused: the lists say that its part is missing.

    An operator who is shown two of three instances' samplers without a word
    would take the third's for gone.
    """
    bench.fleet.world.hosts[InstanceId('i2')].pause()
    samplers = bench.call('GET', '/v1/operators/samplers')
    assert list(samplers.json['missing']) == ['i2']
    instances = bench.call('GET', '/v1/operators/instances').json['instances']
    assert [row['state'] for row in instances] == [
        'ready',
        'ready',
        'no answer',
    ]
    bench.recents['i1'].record('req-1', 'sampler', 's1', 'least loaded')
    told = bench.call('GET', '/v1/operators/explain/req-1')
    assert told.json['decisions'][0]['reason'] == 'least loaded'
    assert list(told.json['missing']) == ['i2']


def test_a_drain_reaches_the_instance(bench: Bench) -> None:
    """The request goes to any instance, the planned stop to the named one."""
    answer = bench.call('POST', '/v1/operators/instances/i1/drain')
    assert answer.status_code == 202
    assert bench.reports['i1'].drained
    unknown = bench.call('POST', '/v1/operators/instances/i7/drain')
    assert unknown.status_code == 504


@pytest.mark.parametrize(
    ('body', 'status'),
    [(b'', 400), (b'[', 422), (b'{"toml": 3}', 422), (b'\xff', 400)],
)
def test_a_malformed_body_is_refused(
    bench: Bench, body: bytes, status: int
) -> None:
    """The answer has a remedy, and nothing is applied."""
    refused = bench.call('PUT', f'{_SETTINGS}/authority', TEAM_TOKEN, body=body)
    assert refused.status_code == status
    assert refused.json['error']['remedy']


def test_metrics_and_their_last_minutes(bench: Bench) -> None:
    """Prometheus reads the values; operators get what they were."""
    exposition = bench.call('GET', '/metrics').text
    assert 'guavagate_members{instance="i0"} 3' in exposition
    bench.clock.advance(60)
    series = bench.call('GET', '/v1/operators/series').json
    assert len(series['instances']['i1'][0]['points']) > 10
