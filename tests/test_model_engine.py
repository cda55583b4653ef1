"""Tests of the engine adapter against the engine stand-in."""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.integrations._http import Connections
from guavagate.integrations.model_engine import HttpModelEngine
from guavagate.models import RequestId
from guavagate.ports.engine import EngineOrder, Generation
from standins import engine as engine_standin
from standins._web import Server, serve
from standins.text import count_versions, find_fault

_TIMEOUT = 5.0


@pytest.fixture
def server() -> Iterator[Server]:
    """Start an engine stand-in that generates quickly."""
    options = engine_standin.EngineOptions(token_s=0.001, report_lag_s=0)
    standin = serve(engine_standin.make_app(options))
    yield standin
    standin.stop()


@pytest.fixture
def client() -> Iterator[HttpModelEngine]:
    """Create the adapter under test."""
    adapter = HttpModelEngine(SystemClock())
    yield adapter
    adapter.close()


def _set_faults(server: Server, body: bytes) -> None:
    """Inject faults into the engine stand-in."""
    connections = Connections(SystemClock())
    answer = connections.send(
        server.address, 'POST', '/control/faults', body=body, timeout=_TIMEOUT
    )
    assert answer.status_code == 200
    answer.read()


def _make_generation(exchange: str, **fields: int | str) -> Generation:
    """Return a generation of 40 tokens."""
    return Generation(
        exchange=RequestId(exchange),
        prompt='draft a condition',
        max_tokens=40,
        **fields,  # type: ignore[arg-type]
    )


def _generate(
    client: HttpModelEngine, server: Server, generation: Generation
) -> str:
    """Return the complete text of a generation."""
    pieces = client.generate(server.address, generation, _TIMEOUT)
    return ''.join(piece.text for piece in pieces)


def test_a_stream_completes_and_resumes(
    client: HttpModelEngine, server: Server
) -> None:
    """A resumed generation continues with the next token."""
    text = _generate(client, server, _make_generation('a'))
    assert not find_fault('draft a condition', text)
    rest = _generate(client, server, _make_generation('b', resume_tokens=3))
    assert rest == ''.join(f' {word}' for word in text.split()[3:])


def test_each_piece_names_its_version_across_a_swap(
    client: HttpModelEngine, server: Server
) -> None:
    """Pieces before and after a swap in mid-stream name their own version."""
    reported = []
    for piece in client.generate(
        server.address, _make_generation('a'), _TIMEOUT
    ):
        reported.append((piece.version, count_versions(piece.text)[0][0]))
        if len(reported) == 3:
            order = EngineOrder(action='swap', version=2)  # type: ignore[arg-type]
            client.order(server.address, order, _TIMEOUT)
    assert all(version == actual for version, actual in reported)
    assert {version for version, _ in reported} == {1, 2}


def test_a_crossed_piece_is_dropped_and_its_gap_detected(
    client: HttpModelEngine, server: Server
) -> None:
    """Two streams that swap pieces leave no gap in an answer.

    The engine sends pieces of each stream under the other's id. Both end with
    their terminal events, yet both lack pieces. What the caller received must
    be the start of the answer without a gap, so that a resume completes it.
    """
    _set_faults(server, b'{"cross": 0.5}')
    received: dict[str, str] = {'a': '', 'b': ''}

    def collect(name: str) -> None:
        generation = _make_generation(name)
        for piece in client.generate(server.address, generation, _TIMEOUT):
            received[name] += piece.text

    tasks = [gevent.spawn(collect, name) for name in received]
    gevent.joinall(tasks)
    assert client.dropped > 0
    assert any(isinstance(task.exception, UpstreamError) for task in tasks)
    for text in received.values():
        assert not find_fault('draft a condition', text)


def test_a_damaged_piece_is_not_left_out_of_the_text(
    client: HttpModelEngine,
) -> None:
    """The engine states no token count, so the next piece shows no gap."""
    piece = (
        b'data: {"id":"a","choices":[{"text":" %b","finish_reason":%b}],'
        b'"usage":{"tokens":1},"weight_version":1}\n\n'
    )
    pieces = [
        b': wait\n\n',
        piece % (b'one', b'null'),
        b'k2%b' % (piece % (b'two', b'null')),
        piece % (b'three', b'"stop"'),
    ]
    body = b''.join(pieces)

    def serve(sock: socket.socket, _: object) -> None:
        sock.recv(65_536)
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        sock.sendall(b'%b%b' % (head, body))
        sock.close()

    engine = StreamServer(('127.0.0.1', 0), serve)
    engine.start()
    address = f'127.0.0.1:{engine.server_port}'
    stream = client.generate(address, _make_generation('a'), _TIMEOUT)
    assert next(stream).text == ' one'
    with pytest.raises(UpstreamError, match='left out'):
        next(stream)
    engine.stop()


def test_a_stream_without_its_terminal_event_is_incomplete(
    client: HttpModelEngine, server: Server
) -> None:
    """The response body ends cleanly, as after a crash behind a proxy."""
    _set_faults(server, b'{"cut": 1}')
    with pytest.raises(UpstreamError, match='terminal event'):
        _generate(client, server, _make_generation('a'))


def test_a_stalled_stream_times_out_and_is_cancelled(
    client: HttpModelEngine, server: Server
) -> None:
    """The engine stalls after some tokens while its connection stays open.

    The timeout between two tokens ends the wait, regardless of the time limit
    of the complete answer. The generation is cancelled, so that the engine
    frees its slot once it continues.
    """
    pieces = client.generate(server.address, _make_generation('a'), 0.3)
    next(pieces)
    _set_faults(server, b'{"stall": true}')
    with pytest.raises(UpstreamError, match='has sent nothing'):
        list(pieces)
    _set_faults(server, b'{}')
    with gevent.Timeout(_TIMEOUT):
        while client.report(server.address, _TIMEOUT).running:
            gevent.sleep(0.005)


def test_a_stream_without_a_version_is_refused(
    client: HttpModelEngine, server: Server
) -> None:
    """A sample must name its version, so a stream without one is an error."""
    _set_faults(server, b'{"silent_versions": true}')
    with pytest.raises(UpstreamError, match='which version'):
        _generate(client, server, _make_generation('a'))


def test_only_requests_that_did_not_start_are_reported_so(
    client: HttpModelEngine, server: Server
) -> None:
    """A refusal means "not started"; a reset after the request doesn't.

    A leaving engine refuses before it starts, and a closed port receives no
    byte. A crash resets the connection after the request was sent, so the
    engine may have run it.
    """
    _set_faults(server, b'{"leaving": true}')
    with pytest.raises(UpstreamNotStartedError):
        _generate(client, server, _make_generation('a'))
    _set_faults(server, b'{"crash": true}')
    with pytest.raises(UpstreamError) as caught:
        _generate(client, server, _make_generation('b'))
    assert not isinstance(caught.value, UpstreamNotStartedError)
    server.stop()
    with pytest.raises(UpstreamNotStartedError):
        _generate(client, server, _make_generation('c'))


def test_closing_the_iterator_cancels_the_generation(
    client: HttpModelEngine, server: Server
) -> None:
    """The caller disconnects after one piece; the engine frees its slot."""
    pieces = client.generate(server.address, _make_generation('a'), _TIMEOUT)
    next(pieces)
    assert client.report(server.address, _TIMEOUT).running == 1
    pieces.close()  # type: ignore[attr-defined]
    with gevent.Timeout(_TIMEOUT):
        while client.report(server.address, _TIMEOUT).running:
            gevent.sleep(0.005)
