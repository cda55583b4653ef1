"""HTTP routes of the engine stand-in."""

from collections.abc import Iterator
from typing import Any, Final

import falcon
import msgspec

from guavagate.ports.engine import EngineOrder
from standins._web import (
    read_json,
    reset_connection,
    route,
    write_error,
    write_json,
)
from standins.engine._engine import Engine
from standins.engine._options import EngineFaults, EngineOptions, Request
from standins.engine._orders import execute_order

_DONE: Final = b'data: [DONE]\n\n'


def make_app(options: EngineOptions | None = None) -> falcon.App:
    """Create the WSGI application of the stand-in."""
    engine = Engine(options or EngineOptions())
    app = falcon.App()
    _add_completion_routes(app, engine)
    _add_control_routes(app, engine)
    return app


def _add_completion_routes(app: falcon.App, engine: Engine) -> None:
    """Add the routes that start and cancel completions."""

    def complete(req: falcon.Request, resp: falcon.Response) -> None:
        request = read_json(req, Request)
        if engine.faults.crash:
            reset_connection(req)
            return
        code = engine.get_rejection_code()
        if code:
            write_error(resp, 503, code)
            return
        resp.content_type = 'text/event-stream'
        resp.stream = _stream(req, engine, request)

    def cancel(
        req: falcon.Request, resp: falcon.Response, exchange: str
    ) -> None:
        write_json(resp, {'cancelled': engine.cancel(exchange)})

    route(app, '/v1/completions', post=complete)
    route(app, '/cancel/{exchange:path}', post=cancel)


def _stream(
    req: falcon.Request, engine: Engine, request: Request
) -> Iterator[bytes]:
    """Yield the completion as server-sent events, with injected faults."""
    truncated = engine.rng.random() < engine.faults.cut
    for event in engine.generate(request):
        if engine.faults.crash:
            reset_connection(req)
            return
        if truncated and event['choices'][0]['finish_reason']:
            return
        yield _encode(_cross_event(engine, event))
    yield _DONE


def _encode(event: dict[str, Any]) -> bytes:
    """Encode a server-sent event."""
    return b'data: %b\n\n' % msgspec.json.encode(event)


def _cross_event(engine: Engine, event: dict[str, Any]) -> dict[str, Any]:
    """Replace the id of some events by that of another exchange."""
    others = [id_ for id_ in engine.list_running() if id_ != event['id']]
    if others and engine.rng.random() < engine.faults.cross:
        event['id'] = engine.rng.choice(others)
    return event


def _add_control_routes(app: falcon.App, engine: Engine) -> None:
    """Add the routes for reports, orders, cache events and faults."""

    def report(req: falcon.Request, resp: falcon.Response) -> None:
        if engine.faults.crash:
            reset_connection(req)
        write_json(resp, engine.report())

    def order(req: falcon.Request, resp: falcon.Response) -> None:
        if engine.faults.crash:
            reset_connection(req)
        status, code = execute_order(engine, read_json(req, EngineOrder))
        if code:
            write_error(resp, status, code)
        else:
            write_json(resp, {}, status)

    def cache_events(req: falcon.Request, resp: falcon.Response) -> None:
        since = req.get_param_as_int('since') or 0
        next_number, events = engine.cache.list_events(since)
        write_json(resp, {'next': next_number, 'events': events})

    def set_faults(req: falcon.Request, resp: falcon.Response) -> None:
        engine.faults = read_json(req, EngineFaults)
        write_json(resp, {})

    route(app, '/report', get=report)
    route(app, '/orders', post=order)
    route(app, '/cache/events', get=cache_events)
    route(app, '/control/faults', post=set_faults)
