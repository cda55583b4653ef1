"""Stand-in for an upstream of a plain service.

The last part of the path names the request. The upstream records each run and
doesn't deduplicate requests by their idempotency key: the instances in front of
it must ensure that a request which isn't idempotent runs at most once.
"""

import random
from functools import partial

import falcon
import gevent
import msgspec
from gevent.lock import BoundedSemaphore

from guavagate.const import HEADER_EXCHANGE
from guavagate.measure.history import AnsweredByUpstream, RanAtUpstream
from guavagate.ports.plain_service import ServiceReport
from standins._web import (
    read_json,
    reset_connection,
    route,
    write_error,
    write_json,
)
from standins.history import Recorder, now


class PlainOptions(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Options of the upstream; `work_s` is the seconds per request."""

    id: str = 'booking-1'
    slots: int = 16
    work_s: float = 0.01
    history: str = ''
    seed: int = 0


class PlainFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``; omitted faults are cleared.

    Parameters
    ----------
    slow_s
        Seconds added to each request.
    crash_after_run
        Share of the requests that run but whose connection is then reset.
    reset
        Share of the requests whose connection is reset before they run.
    crossed
        Share of the answers that carry the id of another exchange.
    leaving
        Refuse requests and report the upstream as leaving.
    """

    slow_s: float = 0
    crash_after_run: float = 0
    reset: float = 0
    crossed: float = 0
    leaving: bool = False
    overloaded: bool = False


class _State:
    """State that the routes share."""

    def __init__(self, options: PlainOptions) -> None:
        self.options = options
        self.faults = PlainFaults()
        self.rng = random.Random(options.seed)
        self.recorder = Recorder(options.history, f'plain-{options.id}')
        self.slots = BoundedSemaphore(options.slots)
        self.running = 0

    def should_inject(self, share: float) -> bool:
        """Return at random whether a fault with this share occurs."""
        return self.rng.random() < share


def make_app(options: PlainOptions | None = None) -> falcon.App:
    """Create the WSGI application of the stand-in."""
    state = _State(options or PlainOptions())
    app = falcon.App()
    route(app, '/report', get=partial(_report, state))
    route(app, '/control/faults', post=partial(_set_faults, state))
    app.add_sink(partial(_handle, state), '/')
    return app


def make_answer(request: str, method: str, path: str, body: bytes) -> str:
    """Return the answer to a request, which is the same at every upstream."""
    return f'{request} {method} {path} {body.decode(errors="replace")}'


def _handle(state: _State, req: falcon.Request, resp: falcon.Response) -> None:
    """Accept or refuse one request of any method and path."""
    body = req.bounded_stream.read()
    if state.faults.leaving or state.faults.overloaded:
        code = 'leaving' if state.faults.leaving else 'overloaded'
        write_error(resp, 503, code)
        return
    if state.should_inject(state.faults.reset):
        reset_connection(req)
        return
    state.running += 1
    try:
        with state.slots:
            _execute(state, req, resp, body)
    finally:
        state.running -= 1


def _execute(
    state: _State, req: falcon.Request, resp: falcon.Response, body: bytes
) -> None:
    """Execute a request; its answer may be lost or carry a wrong id."""
    exchange = req.get_header(HEADER_EXCHANGE) or ''
    request = req.path.rpartition('/')[2]
    who = state.options.id
    state.recorder.record(
        RanAtUpstream(
            at=now(),
            who=who,
            request=request,
            body=body.decode(errors='replace'),
            exchange=exchange,
        )
    )
    gevent.sleep(state.options.work_s + state.faults.slow_s)
    answer = make_answer(request, req.method, req.path, body)
    state.recorder.record(
        AnsweredByUpstream(
            at=now(),
            who=who,
            request=request,
            answer=answer,
            exchange=exchange,
        )
    )
    if state.should_inject(state.faults.crash_after_run):
        reset_connection(req)
        return
    crossed = state.should_inject(state.faults.crossed)
    resp.set_header(HEADER_EXCHANGE, 'another' if crossed else exchange)
    resp.content_type = 'text/plain'
    resp.data = answer.encode()


def _report(state: _State, req: falcon.Request, resp: falcon.Response) -> None:
    """Respond with the current load."""
    slots = state.options.slots
    write_json(
        resp,
        ServiceReport(
            running=min(state.running, slots),
            queued=max(state.running - slots, 0),
            slots=slots,
            leaving=state.faults.leaving,
        ),
    )


def _set_faults(
    state: _State, req: falcon.Request, resp: falcon.Response
) -> None:
    """Replace the faults."""
    state.faults = read_json(req, PlainFaults)
    write_json(resp, {})
