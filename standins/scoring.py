"""Stand-in for a scoring service."""

import falcon
import gevent
import msgspec
import xxhash

from guavagate.integrations.scoring_service.models import (
    ScoreRequest,
)
from standins._web import (
    read_json,
    reset_connection,
    route,
    write_error,
    write_json,
)


class ScoringOptions(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Options of the service; `score_s` is the seconds per score."""

    id: str = 'scoring-1'
    score_s: float = 0.005


class ScoringFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``; omitted faults are cleared.

    Parameters
    ----------
    crash
        Reset each connection without a response.
    crossed
        Respond with the id of another sample.
    """

    crash: bool = False
    slow_s: float = 0
    crossed: bool = False
    overloaded: bool = False


def score_text(text: str) -> float:
    """Return a score between 0 and 1 that depends only on the text."""
    return (xxhash.xxh64_intdigest(text.encode()) % 1000) / 1000


def make_app(options: ScoringOptions | None = None) -> falcon.App:
    """Create the WSGI application of the stand-in."""
    settings = options or ScoringOptions()
    faults = [ScoringFaults()]

    def score(req: falcon.Request, resp: falcon.Response) -> None:
        request: ScoreRequest = read_json(req, ScoreRequest)
        fault = faults[0]
        if fault.overloaded:
            write_error(resp, 503, 'overloaded')
            return
        gevent.sleep(settings.score_s + fault.slow_s)
        if fault.crash:
            reset_connection(req)
        sample_id = 'another' if fault.crossed else request.sample_id
        write_json(
            resp, {'sample_id': sample_id, 'score': score_text(request.text)}
        )

    def set_faults(req: falcon.Request, resp: falcon.Response) -> None:
        faults[0] = read_json(req, ScoringFaults)
        write_json(resp, {})

    app = falcon.App()
    route(app, '/v1/score', post=score)
    route(app, '/control/faults', post=set_faults)
    return app
