"""Tests of the operators' HTTP API by the responses that operators receive."""

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
    """Return instances with the settings of two teams."""
    created = Bench()
    for team, token in (('authority', TEAM_TOKEN), ('trust', OTHER_TOKEN)):
        answer = created.apply(team, FLEET_TOKEN, 0, team_text(team, token))
        assert answer.status_code == 200
    created.clock.advance(3)
    return created


def test_a_settings_change_is_recorded_and_can_be_rolled_back(
    bench: Bench,
) -> None:
    """A change and its rollback each make a revision with a reason."""
    text = team_text('authority', TEAM_TOKEN, 3)
    changed = bench.apply('authority', TEAM_TOKEN, 1, text)
    assert changed.json['change']['revision'] == 2
    assert changed.json['change']['who'] == 'authority-op'
    diff = bench.call('GET', f'{_SETTINGS}/authority/diff', TEAM_TOKEN)
    assert '-weight = 1' in diff.json['diff']
    assert '+weight = 3' in diff.json['diff']
    rollback = bench.call(
        'POST',
        f'{_SETTINGS}/authority/rollback',
        TEAM_TOKEN,
        {'to': 1, 'base': 2, 'why': 'too much'},
    )
    assert rollback.json['toml'] == team_text('authority', TEAM_TOKEN)
    history = bench.call('GET', f'{_SETTINGS}/authority/history', TEAM_TOKEN)
    reasons = [each['why'] for each in history.json['changes']]
    assert reasons == ['back to revision 1: too much', 'a test', 'a test']
    status = bench.call('GET', f'{_SETTINGS}/authority/status', TEAM_TOKEN)
    assert status.json['newest'] == 3
    assert len(status.json['instances']) == 3


def test_a_conflict_response_contains_the_other_change(bench: Bench) -> None:
    """The later of two operators gets 409 with the other's change and text."""
    text = team_text('authority', TEAM_TOKEN, 3)
    assert bench.apply('authority', TEAM_TOKEN, 1, text).status_code == 200
    refused = bench.apply('authority', FLEET_TOKEN, 1, text)
    assert refused.status_code == 409
    error = refused.json['error']
    assert error['other']['who'] == 'authority-op'
    assert error['toml'] == text
    assert error['remedy']


def test_all_problems_of_a_settings_text_are_reported(bench: Bench) -> None:
    """A text with two errors gives two problems and is not applied."""
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
def test_a_team_token_gives_no_access_to_another_team(
    bench: Bench, method: str, path: str
) -> None:
    """The token of another team gets 403, an unknown token gets 401."""
    assert bench.call(method, path, TEAM_TOKEN, {}).status_code == 403
    assert bench.call(method, path, 'guess', {}).status_code == 401


def test_lists_contain_only_the_operators_own_team(bench: Bench) -> None:
    """A team operator sees its team's rows, a fleet operator sees all."""
    for path, key in (('samplers', 'samplers'), ('runs', 'runs')):
        own = bench.call('GET', f'/v1/operators/{path}', OTHER_TOKEN)
        complete = bench.call('GET', f'/v1/operators/{path}')
        assert all(row['team'] == 'trust' for row in own.json[key])
        assert len(own.json[key]) < len(complete.json[key])
    own = bench.call('GET', _SETTINGS, OTHER_TOKEN)
    assert [row['team'] for row in own.json] == ['trust']
    deployments = bench.call('GET', '/v1/operators/deployments').json
    assert [row['running'] for row in deployments['deployments']] == [9, 9]


def test_an_instance_that_does_not_respond_is_listed_as_missing(
    bench: Bench,
) -> None:
    """Lists name an instance that is paused.

    Without its name, an operator would believe that its samplers were removed.
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
    explained = bench.call('GET', '/v1/operators/explain/req-1')
    assert explained.json['decisions'][0]['reason'] == 'least loaded'
    assert list(explained.json['missing']) == ['i2']


def test_a_drain_request_reaches_the_named_instance(bench: Bench) -> None:
    """Any instance accepts the request and forwards it to the named one."""
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
    """The response contains a remedy."""
    refused = bench.call('PUT', f'{_SETTINGS}/authority', TEAM_TOKEN, body=body)
    assert refused.status_code == status
    assert refused.json['error']['remedy']


def test_metrics_and_their_recent_series_are_served(bench: Bench) -> None:
    """Prometheus reads current values; operators read the last minutes."""
    exposition = bench.call('GET', '/metrics').text
    assert 'guavagate_members{instance="i0"} 3' in exposition
    bench.clock.advance(60)
    series = bench.call('GET', '/v1/operators/series').json
    assert len(series['instances']['i1'][0]['points']) > 10
