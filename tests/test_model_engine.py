"""Tests of the engine adapter against the engine stand-in."""

from collections.abc import Iterator

import gevent
import pytest

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
    """Start a fast engine."""
    options = engine_standin.EngineOptions(token_s=0.001, report_lag_s=0)
    running = serve(engine_standin.make_app(options))
    yield running
    running.stop()


@pytest.fixture
def client() -> Iterator[HttpModelEngine]:
    """Make the adapter."""
    adapter = HttpModelEngine(SystemClock())
    yield adapter
    adapter.close()


def _set_faults(server: Server, body: bytes) -> None:
    """Set the engine's faults."""
    connections = Connections(SystemClock())
    answer = connections.send(
        server.address, 'POST', '/control/faults', body=body, timeout=_TIMEOUT
    )
    assert answer.status_code == 200
    answer.read()


def _ask(exchange: str, **fields: int | str) -> Generation:
    """Return a request for 40 tokens."""
    return Generation(
        exchange=RequestId(exchange),
        prompt='draft a condition',
        max_tokens=40,
        **fields,  # type: ignore[arg-type]
    )


def _generate(
    client: HttpModelEngine, server: Server, wanted: Generation
) -> str:
    """Return the whole text of a generation."""
    pieces = client.generate(server.address, wanted, _TIMEOUT)
    return ''.join(piece.text for piece in pieces)


def test_a_stream_is_whole_and_resumes(
    client: HttpModelEngine, server: Server
) -> None:
    """A resumed exchange goes on at the next token."""
    text = _generate(client, server, _ask('a'))
    assert not find_fault('draft a condition', text)
    rest = _generate(client, server, _ask('b', resume_tokens=3))
    assert rest == ''.join(f' {word}' for word in text.split()[3:])


def test_a_swap_in_mid_stream_is_stated_piece_by_piece(
    client: HttpModelEngine, server: Server
) -> None:
    """Pieces before and after a swap name different versions."""
    told = []
    for piece in client.generate(server.address, _ask('a'), _TIMEOUT):
        told.append((piece.version, count_versions(piece.text)[0][0]))
        if len(told) == 3:
            order = EngineOrder(action='swap', version=2)  # type: ignore[arg-type]
            client.order(server.address, order, _TIMEOUT)
    assert all(version == truth for version, truth in told)
    assert {version for version, _ in told} == {1, 2}


def test_a_crossed_piece_is_dropped_and_the_gap_found(
    client: HttpModelEngine, server: Server
) -> None:
    """Two streams whose pieces change places leave no gap in an answer.

    The engine sends each one's pieces under the other's id. Both streams end
    by their terminal events, yet both lack pieces: what a caller was given
    before the gap must be the answer's start, so that a resume completes it.
    """
    _set_faults(server, b'{"cross": 0.5}')
    received: dict[str, str] = {'a': '', 'b': ''}

    def collect(name: str) -> None:
        wanted = _ask(name)
        for piece in client.generate(server.address, wanted, _TIMEOUT):
            received[name] += piece.text

    tasks = [gevent.spawn(collect, name) for name in received]
    gevent.joinall(tasks)
    assert client.dropped > 0
    assert any(isinstance(task.exception, UpstreamError) for task in tasks)
    for text in received.values():
        assert not find_fault('draft a condition', text)


def test_a_stream_without_its_terminal_event_is_not_whole(
    client: HttpModelEngine, server: Server
) -> None:
    """The body ends cleanly, as after a crash behind a relay."""
    _set_faults(server, b'{"cut": 1}')
    with pytest.raises(UpstreamError, match='terminal event'):
        _generate(client, server, _ask('a'))


def test_a_silent_stream_is_given_up_and_cancelled(
    client: HttpModelEngine, server: Server
) -> None:
    """The engine stalls after some tokens; its connection stays open.

    The time limit between two tokens ends the wait, whatever the whole answer
    may take, and the engine is told to stop, so that its slot becomes free
    once it goes on.
    """
    pieces = client.generate(server.address, _ask('a'), 0.3)
    next(pieces)
    _set_faults(server, b'{"stall": true}')
    with pytest.raises(UpstreamError, match='has sent nothing'):
        list(pieces)
    _set_faults(server, b'{}')
    with gevent.Timeout(_TIMEOUT):
        while client.report(server.address, _TIMEOUT).running:
            gevent.sleep(0.005)


def test_a_stream_that_names_no_version_is_refused(
    client: HttpModelEngine, server: Server
) -> None:
    """A sample could not name the version that made it, so none is made."""
    _set_faults(server, b'{"silent_versions": true}')
    with pytest.raises(UpstreamError, match='which version'):
        _generate(client, server, _ask('a'))


def test_only_what_has_not_started_says_so(
    client: HttpModelEngine, server: Server
) -> None:
    """A refusal is "not started"; a reset after the request is not.

    A leaving engine refuses before it starts, and a closed port takes no
    byte. A crash resets the connection after the request has gone out: the
    engine may have run it.
    """
    _set_faults(server, b'{"leaving": true}')
    with pytest.raises(UpstreamNotStartedError):
        _generate(client, server, _ask('a'))
    _set_faults(server, b'{"crash": true}')
    with pytest.raises(UpstreamError) as caught:
        _generate(client, server, _ask('b'))
    assert not isinstance(caught.value, UpstreamNotStartedError)
    server.stop()
    with pytest.raises(UpstreamNotStartedError):
        _generate(client, server, _ask('c'))


def test_closing_the_iterator_cancels_upstream(
    client: HttpModelEngine, server: Server
) -> None:
    """The caller is gone after one piece: the engine's slot becomes free."""
    pieces = client.generate(server.address, _ask('a'), _TIMEOUT)
    next(pieces)
    assert client.report(server.address, _TIMEOUT).running == 1
    pieces.close()  # type: ignore[attr-defined]
    with gevent.Timeout(_TIMEOUT):
        while client.report(server.address, _TIMEOUT).running:
            gevent.sleep(0.005)
