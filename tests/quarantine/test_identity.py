"""A request is recognized under another id, and is taken for no other."""

import pytest

from guavagate.models import TeamId
from guavagate.quarantine import RequestContent, RequestIdentity


def _identify(
    team: str = 't',
    method: str = 'POST',
    host: str = 'h.example',
    target: str = '/a/b?page=2',
    body: bytes = b'x',
) -> RequestIdentity:
    content = RequestContent(
        team=TeamId(team), method=method, host=host, target=target, body=body
    )
    assert content.digest_path() == content.identify().path
    return content.identify()


def test_a_repetition_has_the_same_identity() -> None:
    """Neither its id nor the spelling of its host counts."""
    assert _identify() == _identify(host='H.example')


def test_another_query_changes_only_the_query() -> None:
    """A caller may vary the query between repetitions."""
    other = _identify(target='/a/b?page=3')
    assert other.content == _identify().content
    assert other.path == _identify().path
    assert other.query not in {'', _identify().query}
    assert not _identify(target='/a/b').query


@pytest.mark.parametrize(
    'other',
    [
        _identify(team='u'),
        _identify(method='PUT'),
        _identify(host='i.example'),
        _identify(target='/a/c?page=2'),
        _identify(body=b'y'),
        _identify(team='th', host='.example'),
    ],
)
def test_another_request_has_another_identity(other: RequestIdentity) -> None:
    """A part that moves to its neighbour counts as a difference too."""
    assert other.content != _identify().content
