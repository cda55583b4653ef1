"""The rate-limited weight store as a stand-in."""

from functools import partial

import falcon
import gevent
import msgspec

from guavagate.integrations.weight_store.models import WeightEntry
from standins._bucket import TokenBucket
from standins._web import read_json, route, write_error, write_json


class WeightStoreOptions(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """How the store behaves.

    Parameters
    ----------
    rate
        Fetches a second over all engines.
    fetch_s
        Seconds that one fetch takes.
    size
        Bytes that one version is said to have; few are sent.
    """

    rate: float = 6
    fetch_s: float = 0.05
    size: int = 8_000_000_000


class WeightStoreFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What ``POST /control/faults`` sets; what it leaves out is healthy."""

    outage: bool = False
    slow_s: float = 0
    missing: list[int] = []


class _State:
    """All that the routes share."""

    def __init__(self, options: WeightStoreOptions) -> None:
        self.options = options
        self.faults = WeightStoreFaults()
        self.bucket = TokenBucket(options.rate)

    def refuse(self, resp: falcon.Response, version: int) -> bool:
        """Answer with a fault, if one is set."""
        if self.faults.outage:
            write_error(resp, 503, 'outage')
        elif version in self.faults.missing:
            write_error(resp, 404, 'not_found')
        else:
            return False
        return True


def make_app(options: WeightStoreOptions | None = None) -> falcon.App:
    """Return the stand-in as a WSGI application."""
    state = _State(options or WeightStoreOptions())
    path = '/v1/weights/{run}/{version:int}'
    app = falcon.App()
    route(app, path, get=partial(_fetch, state))
    route(app, f'{path}/entry', get=partial(_show, state))
    route(app, '/control/faults', post=partial(_set_faults, state))
    return app


def _fetch(
    state: _State,
    req: falcon.Request,
    resp: falcon.Response,
    run: str,
    version: int,
) -> None:
    """Give a version out, unless the rate limit is reached."""
    if state.refuse(resp, version):
        return
    if not state.bucket.take():
        write_error(resp, 429, 'rate_limited')
        resp.set_header('Retry-After', '1')
        return
    gevent.sleep(state.options.fetch_s + state.faults.slow_s)
    resp.data = f'{run} {version}'.encode()


def _show(
    state: _State,
    req: falcon.Request,
    resp: falcon.Response,
    run: str,
    version: int,
) -> None:
    """Tell what is known of a version."""
    if not state.refuse(resp, version):
        write_json(resp, WeightEntry(state.options.size, state.options.rate))


def _set_faults(
    state: _State, req: falcon.Request, resp: falcon.Response
) -> None:
    """Take faults over."""
    state.faults = read_json(req, WeightStoreFaults)
    write_json(resp, {})
