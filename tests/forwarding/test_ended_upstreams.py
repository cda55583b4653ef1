"""The log tells a request that ends upstreams from one that lost an answer."""

import logging
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.queue import Queue

from guavagate.clock import PausedClock, SystemClock
from guavagate.events import forwarding as events
from guavagate.forwarding import (
    AttemptRunner,
    Forwarder,
    RequestGuard,
    make_forwarders,
)
from guavagate.http1 import ConnectionPool, Request
from guavagate.models import ServiceId, ZoneId
from guavagate.platform._dialect import PlatformDialect
from guavagate.ports.dialect import Call
from guavagate.quarantine import BrokenRun
from guavagate.routing import RouteTable, UpstreamTable
from tests.forwarding.common import start_upstream
from tests.quarantine.common import identify, make_quarantine
from tests.routing.test_routes import make_route, make_upstream


class _Bench:
    """A forwarder with an upstream that breaks each connection."""

    def __init__(self, *, ends: bool) -> None:
        self._ends = ends
        self._clock = SystemClock()
        upstreams = UpstreamTable(self._clock, ZoneId('z'))
        self.server, upstream = start_upstream('a', 'z', self._serve)
        upstreams.put(upstream)
        quarantine = make_quarantine(self._clock, upstreams)
        runner = AttemptRunner(
            self._clock,
            ConnectionPool(self._clock),
            upstreams,
            PlatformDialect(),
            quarantine,
        )
        self._forwarder = Forwarder(
            self._clock, upstreams, runner, RequestGuard(quarantine, upstreams)
        )

    def forward(self, request: str, target: str) -> None:
        """Forward a request and wait until the break has been looked into."""
        call = Call(
            id=request,
            request=Request('POST', target, [(b'Host', b'h')]),
            body=b'x',
            until=self._clock.now() + 1,
        )
        self._forwarder.forward(
            call, make_route('/'), ServiceId('s'), Queue(), may_repeat=True
        )
        gevent.sleep(0.1)

    def _serve(self, sock: socket.socket, _: object) -> None:
        sock.recv(1000)
        if self._ends:
            self.server.close()
        sock.close()


def _list_lines(
    caplog: pytest.LogCaptureFixture, code: str
) -> list[dict[str, Any]]:
    return [
        record.fields  # type: ignore[attr-defined]
        for record in caplog.records
        if getattr(record, 'event', '') == code
    ]


def test_two_ids_of_one_request_are_logged_with_one_content(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Upstreams end under ids that look like different requests."""
    caplog.set_level(logging.INFO)
    for name, target in (('1', '/a'), ('2', '/a'), ('3', '/b')):
        _Bench(ends=True).forward(name, target)
    first, second, other = _list_lines(caplog, events.UPSTREAM_ENDED.code)
    assert first['request'] != second['request']
    assert first['content'] == second['content']
    assert first['content'] != other['content']
    failed = _list_lines(caplog, events.ATTEMPT_FAILED.code)
    assert failed[0]['content'] == first['content']


def test_a_lost_answer_is_not_logged_as_an_end(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The upstream breaks one connection and accepts others."""
    caplog.set_level(logging.INFO)
    _Bench(ends=False).forward('1', '/a')
    assert _list_lines(caplog, events.ATTEMPT_FAILED.code)
    assert not _list_lines(caplog, events.UPSTREAM_ENDED.code)


def test_an_upstream_that_ended_is_ejected_at_once() -> None:
    """One request broke there; the next must not be sent after it."""
    clock = PausedClock()
    upstreams = UpstreamTable(clock, ZoneId('z'))
    for name in 'ab':
        upstreams.put(make_upstream(name))
    quarantine = make_quarantine(clock, upstreams, lambda address: True)
    make_forwarders(
        clock,
        ConnectionPool(clock),
        RouteTable(),
        upstreams,
        PlatformDialect(),
        quarantine,
    )
    run = BrokenRun(request='1', identity=identify(), seconds=0.1)
    quarantine.record_break(make_upstream('a'), run)
    clock.advance(0.1)
    for _ in range(9):
        chosen = upstreams.choose(ServiceId('s'), set())
        assert chosen is not None
        assert chosen.id == 'b'
