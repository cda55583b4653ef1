"""Headers of items as samplers get them."""

from typing import Final

import pytest

from guavagate.ports.sampler import ItemImpossibleError
from tests.platform.answer_bench import AnswerBench
from tests.platform.answer_bench import make_bench as make_bench

_ANSWER: Final = (
    b'HTTP/1.1 200 OK\r\nGuavagate-Request-Id: i\r\nConnection: close\r\n'
    b'Guavagate-Weight-Versions: 2\r\nContent-Length: 15\r\n\r\n'
    b'id: 1\ndata: a\n\n'
)


@pytest.mark.parametrize(
    'name',
    [
        'Host',
        'Guavagate-Request-Id',
        'guavagate-target-instance',
        'Last-Event-Id',
        'Content-Length',
        'Transfer-Encoding',
        'Connection',
        'Expect',
    ],
)
def test_what_is_set_here_replaces_what_the_trainer_sent(
    bench: AnswerBench, name: str
) -> None:
    """A sampler would get two values, or a body that ends elsewhere."""
    bench.script = [_ANSWER]
    headers = {name: '7', 'X-Other': ' kept '}
    assert bench.run_item('i', headers) == ['a']
    lines = bench.heads[0].split(b'\r\n')
    named = [
        each for each in lines if each.lower().startswith(name.lower().encode())
    ]
    assert b'7' not in b''.join(named)
    assert len(named) <= 1
    assert b'X-Other: kept' in lines


def test_a_header_that_can_not_be_sent_ends_the_item_only(
    bench: AnswerBench,
) -> None:
    """Its error ended the item's task; an earlier release has accepted it."""
    with pytest.raises(ItemImpossibleError):
        bench.run_item('i', {'X': '\u2192'})
    assert not bench.heads
