"""Decoding of what an item's headers say about its length and memory."""

import msgspec
import pytest

from guavagate.jobs import JobItem, PromptPrefix
from guavagate.models import ServiceId
from guavagate.platform._jobs import decode_submission
from tests.routing.test_routes import make_route

_ITEM = {'id': 'i1', 'path': '/p/1', 'group-id': 'g1'}


def _decode_item(headers: dict[str, str]) -> JobItem:
    body = msgspec.json.encode({'items': [{**_ITEM, 'headers': headers}]})
    job = decode_submission('id-1', body, make_route('/p/'), ServiceId('s'), 5)
    return job.items[0]


def test_an_items_token_counts_are_decoded() -> None:
    """The parts of its prompt that others share are named with their sizes."""
    item = _decode_item(
        {
            'guavagate-token-count': ' 900, 1600',
            'Guavagate-Prompt-Prefix': 'sys:300,a:b:200, sys:300',
        }
    )
    assert (item.prompt_tokens, item.max_output_tokens) == (900, 1600)
    prefixes = (PromptPrefix('sys', 300), PromptPrefix('a:b', 200))
    assert item.prompt_prefixes == prefixes
    assert msgspec.json.decode(msgspec.json.encode(item), type=JobItem) == item


@pytest.mark.parametrize('count', ['', '900', 'x,1600', '-1', '9' * 5000, '²'])
def test_invalid_token_counts_are_left_out(count: str) -> None:
    """The submission is accepted: the counts only help to place its items."""
    item = _decode_item(
        {
            'Guavagate-Token-Count': count,
            'Guavagate-Prompt-Prefix': f'x,:3,a:{count}0x,b:7',
            'Guavagate-Length-Hint': '²',
        }
    )
    assert item.prompt_tokens in {0, 900}
    assert item.max_output_tokens in {0, 1600}
    assert item.prompt_prefixes == (PromptPrefix('b', 7),)
    assert item.expected_tokens == 0


def test_items_of_earlier_releases_have_no_token_counts() -> None:
    """Their records in the store lack the fields."""
    record = b'{"id":"i","path":"/","headers":{},"body":"","group":"g"}'
    item = msgspec.json.decode(record, type=JobItem)
    assert (item.prompt_tokens, item.max_output_tokens) == (0, 0)
    assert item.prompt_prefixes == ()
