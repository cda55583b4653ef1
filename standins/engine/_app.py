"""The engine's routes."""

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
    """Return the stand-in as a WSGI application."""
    engine = Engine(options or EngineOptions())
    app = falcon.App()
    _route_work(app, engine)
    _route_control(app, engine)
    return app


def _route_work(app: falcon.App, engine: Engine) -> None:
    """Add completions and cancels."""

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
    """Yield the exchange as server-sent events, with the faults set."""
    cut = engine.draw.random() < engine.faults.cut
    for event in engine.generate(request):
        if engine.faults.crash:
            reset_connection(req)
            return
        if cut and event['choices'][0]['finish_reason']:
            return
        yield _encode(_cross(engine, event))
    yield _DONE


def _encode(event: dict[str, Any]) -> bytes:
    """Return an event's line."""
    return b'data: %b\n\n' % msgspec.json.encode(event)


def _cross(engine: Engine, event: dict[str, Any]) -> dict[str, Any]:
    """Give some pieces the id of another exchange."""
    others = [one for one in engine.list_running() if one != event['id']]
    if others and engine.draw.random() < engine.faults.cross:
        event['id'] = engine.draw.choice(others)
    return event


def _route_control(app: falcon.App, engine: Engine) -> None:
    """Add reports, orders, cache events and faults."""

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
        following, events = engine.cache.show_events(since)
        write_json(resp, {'next': following, 'events': events})

    def set_faults(req: falcon.Request, resp: falcon.Response) -> None:
        engine.faults = read_json(req, EngineFaults)
        write_json(resp, {})

    route(app, '/report', get=report)
    route(app, '/orders', post=order)
    route(app, '/cache/events', get=cache_events)
    route(app, '/control/faults', post=set_faults)
