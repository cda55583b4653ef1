"""Tests that a job is accepted only if all its requests can be sent."""

from typing import Any

import pytest

from guavagate.jobs import (
    BadJobError,
    GroupId,
    ItemId,
    JobItem,
    check_items,
)
from guavagate.ports.rewards import RewardRequest

_HOSTS = ('a.example',)


def _make_item(**fields: Any) -> JobItem:
    values: dict[str, Any] = {
        'id': ItemId('i-1'),
        'path': '/x/1?a=%20',
        'headers': {'X-Tokens': '1, 2\t3', 'X-Name': 'caf\xe9'},
        'body': b'',
        'group': GroupId('g'),
    }
    return JobItem(**{**values, **fields})


def _make_reward(**fields: Any) -> RewardRequest:
    values = {'id': 'r', 'host': 'A.example:80', 'path': '/r', 'body': b''}
    return RewardRequest(**{**values, **fields})


def test_a_job_that_can_be_sent_is_accepted() -> None:
    """Whatever HTTP can carry."""
    check_items([_make_item(reward=_make_reward())], _HOSTS)


@pytest.mark.parametrize(
    'fields',
    [
        {'id': ''},
        {'id': 'a' * 201},
        {'id': 'a b'},
        {'id': 'a\nb'},
        {'id': '\xe9'},
        {'path': ''},
        {'path': 'x'},
        {'path': '/a b'},
        {'path': '/a\r\nX: y'},
        {'path': '/\xe9'},
        {'headers': {'': '1'}},
        {'headers': {'X y': '1'}},
        {'headers': {'X:': '1'}},
        {'headers': {'X\xe9': '1'}},
        {'headers': {'X': '1\r\nY: 2'}},
        {'headers': {'X': 'a\x00'}},
        {'headers': {'X': 'a\x7f'}},
        {'headers': {'X': '\u2192'}},
        {'reward': _make_reward(host='a.example:80\r\nX: y')},
        {'reward': _make_reward(host='b.example')},
        {'reward': _make_reward(path='/a\tb')},
        {'reward': _make_reward(id='a\r\nb')},
    ],
)
def test_a_request_that_can_not_be_sent_is_refused(
    fields: dict[str, Any],
) -> None:
    """Accepted, it would be tried until its item expires.

    Each sampler that it is tried at would seem to refuse work, and where a text
    can't be encoded, the item's task would end.
    """
    with pytest.raises(BadJobError, match=r'\w+'):
        check_items(
            [_make_item(), _make_item(**{'id': 'i-2', **fields})], _HOSTS
        )
