"""Stand-in for the rate-limited weight store."""

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
    """Options of the store.

    Parameters
    ----------
    rate
        Fetches per second, summed over all engines.
    fetch_s
        Duration of one fetch in seconds.
    size
        Reported size of a version in bytes; a fetch sends only a few.
    """

    rate: float = 6
    fetch_s: float = 0.05
    size: int = 8_000_000_000


class WeightStoreFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``; omitted faults are cleared."""

    outage: bool = False
    slow_s: float = 0
    missing: list[int] = []


class _State:
    """State that the routes share."""

    def __init__(self, options: WeightStoreOptions) -> None:
        self.options = options
        self.faults = WeightStoreFaults()
        self.bucket = TokenBucket(options.rate)

    def inject_fault(self, resp: falcon.Response, version: int) -> bool:
        """Respond with an injected fault; return whether there is one."""
        if self.faults.outage:
            write_error(resp, 503, 'outage')
        elif version in self.faults.missing:
            write_error(resp, 404, 'not_found')
        else:
            return False
        return True


def make_app(options: WeightStoreOptions | None = None) -> falcon.App:
    """Create the WSGI application of the stand-in."""
    state = _State(options or WeightStoreOptions())
    path = '/v1/weights/{run}/{version:int}'
    app = falcon.App()
    route(app, path, get=partial(_fetch, state))
    route(app, f'{path}/entry', get=partial(_show_entry, state))
    route(app, '/control/faults', post=partial(_set_faults, state))
    return app


def _fetch(
    state: _State,
    req: falcon.Request,
    resp: falcon.Response,
    run: str,
    version: int,
) -> None:
    """Send a version unless the rate limit is reached."""
    if state.inject_fault(resp, version):
        return
    if not state.bucket.take():
        write_error(resp, 429, 'rate_limited')
        resp.set_header('Retry-After', '1')
        return
    gevent.sleep(state.options.fetch_s + state.faults.slow_s)
    resp.data = f'{run} {version}'.encode()


def _show_entry(
    state: _State,
    req: falcon.Request,
    resp: falcon.Response,
    run: str,
    version: int,
) -> None:
    """Respond with the entry of a version."""
    if not state.inject_fault(resp, version):
        write_json(resp, WeightEntry(state.options.size, state.options.rate))


def _set_faults(
    state: _State, req: falcon.Request, resp: falcon.Response
) -> None:
    """Replace the faults."""
    state.faults = read_json(req, WeightStoreFaults)
    write_json(resp, {})
