"""Minimal relay with the libraries of an instance but no decisions.

It is the baseline for the cost of an instance, measured in the same run and on
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

_TIMEOUT_SECONDS: Final = 20.0


class RelayOptions(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Options of the relay; `engine` is the address to forward to."""

    engine: str = ''


class _Request(msgspec.Struct):
    """The fields of a request that are forwarded."""

    prompt: str
    max_tokens: int


def make_app(options: RelayOptions) -> falcon.App:
    """Create the WSGI application of the relay."""
    engine = HttpModelEngine(SystemClock())
    count = iter(range(1_000_000_000))

    def complete(req: falcon.Request, resp: falcon.Response) -> None:
        request: _Request = read_json(req, _Request)
        resp.content_type = 'text/event-stream'
        resp.stream = _stream(
            engine,
            options.engine,
            Generation(
                exchange=RequestId(f'relay-{next(count)}'),
                prompt=request.prompt,
                max_tokens=request.max_tokens,
            ),
        )

    app = falcon.App()
    route(app, '/v1/completions', post=complete)
    return app


def _stream(
    engine: HttpModelEngine, address: str, generation: Generation
) -> Iterator[bytes]:
    """Yield the pieces of a generation as server-sent events."""
    for piece in engine.generate(address, generation, _TIMEOUT_SECONDS):
        yield b'data: %b\n\n' % msgspec.json.encode(piece)
    yield b'data: [DONE]\n\n'
