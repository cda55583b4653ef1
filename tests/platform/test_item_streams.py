"""Texts of items whose sampler sends other bytes within their streams."""

from collections.abc import Iterator

import gevent
import msgspec
import pytest
from gevent import socket

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError
from guavagate.http1 import ConnectionPool
from guavagate.platform._samplers import PlatformSamplers
from guavagate.ports.sampler import ItemRequest, TextEvent
from guavagate.ports.upstreams import Upstream
from tests.forwarding.common import start_upstream
from tests.forwarding.stream_bench import END, make_chunk
from tests.helpers.foreign_blocks import FOREIGN_BLOCKS

_COUNT = 5
_LIMIT_SECONDS = 10


class _Sampler:
    """A sampler that answers each request with the same bytes."""

    def __init__(self) -> None:
        self.answer = b''
        self.server, self.upstream = start_upstream('a', 'z', self._serve)

    def _serve(self, sock: socket.socket, _: object) -> None:
        sock.recv(65_536)
        sock.sendall(self.answer)
        sock.close()


@pytest.fixture
def sampler() -> Iterator[_Sampler]:
    """Return a sampler that stops after the test."""
    running = _Sampler()
    with gevent.Timeout(_LIMIT_SECONDS):
        yield running
    running.server.stop(0)


def _make_answer(
    blocks: list[bytes], version: str = 'Guavagate-Weight-Versions: 2'
) -> bytes:
    head = (
        b'HTTP/1.1 200 OK',
        b'Content-Type: text/event-stream',
        b'Guavagate-Request-Id: i',
        b'Transfer-Encoding: chunked',
        version.encode('latin-1'),
    )
    body = b''.join(map(make_chunk, blocks))
    return b'%b\r\n\r\n%b%b' % (b'\r\n'.join(head), body, END)


def _make_events() -> list[bytes]:
    return [
        b'id: %d\ndata: e%d\n\n' % (number, number)
        for number in range(1, _COUNT + 1)
    ]


def _run_item(upstream: Upstream) -> tuple[list[TextEvent], bool]:
    """Return the events of an item, and whether its text is complete."""
    samplers = PlatformSamplers(ConnectionPool(SystemClock()))
    item = ItemRequest(
        id='i', host='h', path='/i', headers={}, body=b'', resume_after=0
    )
    events: list[TextEvent] = []
    try:
        for event in samplers.run(upstream, item, 'm').events():
            events.append(event)
    except UpstreamError:
        return events, False
    return events, True


@pytest.mark.parametrize('block', FOREIGN_BLOCKS.values(), ids=FOREIGN_BLOCKS)
def test_foreign_bytes_do_not_become_a_part_of_a_text(
    sampler: _Sampler, block: bytes
) -> None:
    """They took the number of the next event, which was then left out.

    The trainer can't tell such a text from a sound one, and one with a lone
    surrogate kept all results of its job from being listed.
    """
    events = _make_events()
    sent = [*events[:3], b'%b\n\n' % block, *events[3:]]
    sampler.answer = _make_answer(sent)
    received, complete = _run_item(sampler.upstream)
    assert complete
    assert [event.text for event in received] == ['e1', 'e2', 'e3', 'e4', 'e5']
    assert {event.version for event in received} == {2}
    assert msgspec.json.encode(received)


def test_a_text_without_its_last_event_is_not_complete(
    sampler: _Sampler,
) -> None:
    """Foreign bytes have damaged the event, and no other one follows."""
    events = _make_events()
    sent = [*events[:-1], b'k2%b' % events[-1]]
    sampler.answer = _make_answer(sent)
    received, complete = _run_item(sampler.upstream)
    assert not complete
    assert len(received) == _COUNT - 1


@pytest.mark.parametrize(
    'version',
    [
        'Other: 2',
        'Guavagate-Weight-Versions: \u00b2',
        'Guavagate-Weight-Versions: x',
    ],
)
def test_a_text_without_a_version_is_not_used(
    sampler: _Sampler, version: str
) -> None:
    """Its sample could not be traced to the weights that made it."""
    sampler.answer = _make_answer(_make_events(), version)
    assert _run_item(sampler.upstream) == ([], False)


def test_events_without_end_are_cut(sampler: _Sampler) -> None:
    """They would fill the memory of the job's owner."""
    event = b'id: %d\ndata: %b\n\n'
    sent = [event % (number, b'a' * 900_000) for number in range(1, 20)]
    sampler.answer = _make_answer(sent)
    received, complete = _run_item(sampler.upstream)
    assert not complete
    assert len(received) < 18
