"""An upstream of a plain service as a stand-in.

The last part of the path names the request. Each run is recorded, and repeats
are not dropped by their idempotency key: that a request which may not be
repeated runs once is what the system in front of it promises.
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
    """How the upstream behaves; `work_s` is in seconds."""

    id: str = 'booking-1'
    slots: int = 16
    work_s: float = 0.01
    history: str = ''
    seed: int = 0


class PlainFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What ``POST /control/faults`` sets; what it leaves out is healthy.

    Parameters
    ----------
    slow_s
        Seconds added to each run.
    crash_after_run
        Share of the runs whose answer is lost by a reset.
    reset
        Share of the requests reset before they run.
    crossed
        Share of the answers that name another exchange.
    leaving
        Refuse, and say so in the report.
    """

    slow_s: float = 0
    crash_after_run: float = 0
    reset: float = 0
    crossed: float = 0
    leaving: bool = False
    overloaded: bool = False


class _State:
    """All that the routes share."""

    def __init__(self, options: PlainOptions) -> None:
        self.options = options
        self.faults = PlainFaults()
        self.draw = random.Random(options.seed)
        self.recorder = Recorder(options.history, f'plain-{options.id}')
        self.slots = BoundedSemaphore(options.slots)
        self.running = 0

    def draws(self, share: float) -> bool:
        """Tell whether a fault of this share happens now."""
        return self.draw.random() < share


def make_app(options: PlainOptions | None = None) -> falcon.App:
    """Return the stand-in as a WSGI application."""
    state = _State(options or PlainOptions())
    app = falcon.App()
    route(app, '/report', get=partial(_report, state))
    route(app, '/control/faults', post=partial(_set_faults, state))
    app.add_sink(partial(_run, state), '/')
    return app


def make_answer(request: str, method: str, path: str, body: bytes) -> str:
    """Return the answer that a request gets, wherever it runs."""
    return f'{request} {method} {path} {body.decode(errors="replace")}'


def _run(state: _State, req: falcon.Request, resp: falcon.Response) -> None:
    """Run one request, whatever its method and path."""
    body = req.bounded_stream.read()
    if state.faults.leaving or state.faults.overloaded:
        code = 'leaving' if state.faults.leaving else 'overloaded'
        write_error(resp, 503, code)
        return
    if state.draws(state.faults.reset):
        reset_connection(req)
        return
    state.running += 1
    try:
        with state.slots:
            _work(state, req, resp, body)
    finally:
        state.running -= 1


def _work(
    state: _State, req: falcon.Request, resp: falcon.Response, body: bytes
) -> None:
    """Do the work and answer; the answer may get lost or crossed."""
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
    if state.draws(state.faults.crash_after_run):
        reset_connection(req)
        return
    crossed = state.draws(state.faults.crossed)
    resp.set_header(HEADER_EXCHANGE, 'another' if crossed else exchange)
    resp.content_type = 'text/plain'
    resp.data = answer.encode()


def _report(state: _State, req: falcon.Request, resp: falcon.Response) -> None:
    """Tell the load."""
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
    """Take faults over."""
    state.faults = read_json(req, PlainFaults)
    write_json(resp, {})
