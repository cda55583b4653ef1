"""A bare relay: the same libraries as an instance, and no decision.

It is what the cost of an instance is compared with, in the same run and on
the same machine.
"""

from collections.abc import Iterator
from typing import Final

import falcon
import msgspec

from guavagate.clock import SystemClock
from guavagate.integrations.model_engine import HttpModelEngine
from guavagate.models import RequestId
from guavagate.ports.engine import Generation
from standins._web import read_json, route

_TIMEOUT: Final = 20.0


class RelayOptions(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Which engine it relays to."""

    engine: str = ''


class _Request(msgspec.Struct):
    """The part of a request that is passed on."""

    prompt: str
    max_tokens: int


def make_app(options: RelayOptions) -> falcon.App:
    """Return the relay as a WSGI application."""
    engine = HttpModelEngine(SystemClock())
    count = iter(range(1_000_000_000))

    def complete(req: falcon.Request, resp: falcon.Response) -> None:
        wanted: _Request = read_json(req, _Request)
        resp.content_type = 'text/event-stream'
        resp.stream = _stream(
            engine,
            options.engine,
            Generation(
                exchange=RequestId(f'relay-{next(count)}'),
                prompt=wanted.prompt,
                max_tokens=wanted.max_tokens,
            ),
        )

    app = falcon.App()
    route(app, '/v1/completions', post=complete)
    return app


def _stream(
    engine: HttpModelEngine, address: str, wanted: Generation
) -> Iterator[bytes]:
    """Yield an engine's pieces as events."""
    for piece in engine.generate(address, wanted, _TIMEOUT):
        yield b'data: %b\n\n' % msgspec.json.encode(piece)
    yield b'data: [DONE]\n\n'
