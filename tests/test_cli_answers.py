"""The tool's errors for answers that are none, or without end."""

import itertools
from typing import Final

import pytest

from guavagate.cli._client import Client
from guavagate.cli._errors import ExitCode, ToolError
from guavagate.cli._exposition import fetch_samples
from guavagate.operators import ErrorBody
from tests.helpers.odd_bodies import DEEP_OBJECT, ODD_JSON
from tests.http1.answer_readers import serve_bytes

_HEAD: Final = b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b'
_NO_ANSWERS: Final = {
    'other bytes': b'\x00\x01\r\n\r\n',
    'status 000': b'HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}',
    'status 600': b'HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}',
    'blank in a name': b'HTTP/1.1 200 X\r\nA b: 1\r\n\r\n{}',
    'cut': b'HTTP/1.1 200 X\r\nContent-Length: 20\r\n\r\n{}',
    'nothing': b'',
    'long head': b'HTTP/1.1 200 X\r\nA: %b' % (b'a' * 1_000_000),
    'long body': b'HTTP/1.1 200 X\r\n\r\n%b' % (b' ' * 20_000_000),
}
_BODIES: Final = {
    f'{status} {name}': _HEAD % (status, len(body), body)
    for status, (name, body) in itertools.product((200, 404), ODD_JSON.items())
}


@pytest.mark.parametrize('name', [*_NO_ANSWERS, *_BODIES])
def test_what_is_no_answer_ends_the_tool_with_a_message(name: str) -> None:
    """It ended with a traceback, or kept all that was sent."""
    with serve_bytes({**_NO_ANSWERS, **_BODIES}[name]) as address:
        client = Client((f'http://{address}',), 'token')
        with pytest.raises(ToolError) as caught:
            client.get('/x', ErrorBody)
    assert caught.value.exit_code == ExitCode.UNAVAILABLE


@pytest.mark.parametrize('name', list(_NO_ANSWERS))
def test_metrics_that_are_none_are_an_error_of_their_instance(
    name: str,
) -> None:
    """Those of the other instances are still shown."""
    with (
        serve_bytes(_NO_ANSWERS[name]) as address,
        pytest.raises((OSError, ValueError)),
    ):
        fetch_samples(address)


def test_metrics_of_another_form_are_left_out() -> None:
    """They name no zones."""
    body = b'%b\nother{a="b"} 1\n' % DEEP_OBJECT
    with serve_bytes(_HEAD % (200, len(body), body)) as address:
        assert [each.metric for each in fetch_samples(address)] == ['other']
