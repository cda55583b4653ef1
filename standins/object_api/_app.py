"""HTTP routes of the object API stand-in."""

import base64
import random
from collections.abc import Callable
from functools import partial
from typing import Any

import falcon
import gevent
import msgspec

from standins._bucket import TokenBucket
from standins._web import (
    read_json,
    reset_connection,
    route,
    write_error,
    write_json,
)
from standins.object_api._faults import Faults, Instances, loses_response
from standins.object_api._store import (
    MAX_VALUE,
    RETAINED_CHANGES,
    Compacted,
    Conflict,
    Store,
)


class ObjectApiOptions(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Options of the stand-in; rates in calls per second, 0 for no limit."""

    reads: float = 2000
    writes: float = 400
    kept_changes: int = RETAINED_CHANGES
    credential: str = ''
    seed: int = 0


class _State:
    """State that the routes share."""

    def __init__(self, options: ObjectApiOptions) -> None:
        self.options = options
        self.store = Store(options.kept_changes)
        self.snapshot: Store | None = None
        self.instances = Instances()
        self.faults = Faults()
        self.rng = random.Random(options.seed)
        self.buckets = {
            'read': TokenBucket(options.reads),
            'write': TokenBucket(options.writes),
        }
        self.calls = {'read': 0, 'write': 0, 'watch': 0, 'limited': 0}

    def apply_faults(self, faults: Faults) -> None:
        """Apply faults; stale reads answer from a snapshot taken now."""
        self.faults = faults
        self.snapshot = None
        if faults.stale_reads:
            self.snapshot = Store()
            self.snapshot.revision = self.store.revision
            self.snapshot.objects = dict(self.store.objects)

    def admit(self, req: falcon.Request, resp: falcon.Response) -> bool:
        """Apply delay, outage, credential check and rate limit to a call."""
        gevent.sleep(self.faults.slow_ms / 1000)
        if self.faults.outage:
            write_error(resp, 503, 'outage')
            return False
        credential = self.options.credential
        if (
            credential
            and req.get_header('Authorization') != f'Bearer {credential}'
        ):
            write_error(resp, 401, 'unauthorized')
            return False
        kind = 'read' if req.method == 'GET' else 'write'
        self.calls['watch' if req.path == '/v1/watch' else kind] += 1
        if self.buckets[kind].take():
            return True
        self.calls['limited'] += 1
        write_error(resp, 429, 'rate_limited')
        resp.set_header('Retry-After', '1')
        return False


def make_app(options: ObjectApiOptions | None = None) -> falcon.App:
    """Create the WSGI application of the stand-in."""
    state = _State(options or ObjectApiOptions())
    app = falcon.App()
    app.req_options.strip_url_path_trailing_slash = False
    _add_object_routes(app, state)
    _add_instance_routes(app, state)
    _add_control_routes(app, state)
    return app


def _add_object_routes(app: falcon.App, state: _State) -> None:
    """Add the routes for objects and watches."""
    route(app, '/v1/objects', get=partial(_list, state))
    route(
        app,
        '/v1/objects/{path:path}',
        get=partial(_get, state),
        put=partial(_put, state),
        delete=partial(_delete, state),
    )
    route(app, '/v1/watch', get=partial(_watch, state))


def _list(state: _State, req: falcon.Request, resp: falcon.Response) -> None:
    """Respond with all objects under a prefix."""
    if state.admit(req, resp):
        store = state.snapshot or state.store
        write_json(resp, _make_listing(store, req.get_param('prefix') or ''))


def _get(
    state: _State, req: falcon.Request, resp: falcon.Response, path: str
) -> None:
    """Respond with one object."""
    if not state.admit(req, resp):
        return
    found = (state.snapshot or state.store).objects.get(path)
    if found is None:
        write_error(resp, 404, 'not_found')
        return
    resp.data, version = found
    resp.content_type = 'application/octet-stream'
    resp.set_header('X-Version', str(version))


def _put(
    state: _State, req: falcon.Request, resp: falcon.Response, path: str
) -> None:
    """Write one object."""
    value = req.bounded_stream.read()
    if len(value) > MAX_VALUE:
        write_error(resp, 413, 'too_large')
    elif state.admit(req, resp):
        _write(state, req, resp, partial(state.store.put, path, value))


def _delete(
    state: _State, req: falcon.Request, resp: falcon.Response, path: str
) -> None:
    """Delete one object."""
    if state.admit(req, resp):
        _write(state, req, resp, partial(state.store.delete, path))


def _write(
    state: _State,
    req: falcon.Request,
    resp: falcon.Response,
    change: Callable[[int | None], int],
) -> None:
    """Apply a write; its response may be lost."""
    header = req.get_header('X-Expected-Version')
    try:
        version = change(None if header is None else int(header))
    except Conflict as conflict:
        write_json(resp, {'version': conflict.current}, 409)
        return
    if loses_response(state.faults, state.rng):
        reset_connection(req)
    write_json(resp, {'version': version})


def _make_listing(store: Store, prefix: str) -> dict[str, Any]:
    """Return the JSON body that lists the objects under a prefix."""
    return {
        'revision': store.revision,
        'objects': [
            {
                'path': path,
                'value': base64.b64encode(value).decode(),
                'version': version,
            }
            for path, (value, version) in sorted(store.objects.items())
            if path.startswith(prefix)
        ],
    }


def _watch(state: _State, req: falcon.Request, resp: falcon.Response) -> None:
    """Wait for changes; outages and stale reads hide them."""
    if not state.admit(req, resp):
        return
    prefix = req.get_param('prefix') or ''
    since = req.get_param_as_int('since') or 0
    timeout = req.get_param_as_float('timeout') or 0
    try:
        changes = (state.snapshot or state.store).watch(prefix, since, timeout)
    except Compacted:
        write_error(resp, 410, 'compacted')
        return
    if state.faults.outage:
        write_error(resp, 503, 'outage')
        return
    shown = [
        {
            'path': path,
            'value': value and base64.b64encode(value).decode(),
            'version': version,
        }
        for version, path, value in changes
    ]
    newest = changes[-1][0] if changes else max(since, 0)
    write_json(resp, {'revision': newest, 'changes': shown})


def _add_instance_routes(app: falcon.App, state: _State) -> None:
    """Add the routes for the list of instances."""

    def show(req: falcon.Request, resp: falcon.Response) -> None:
        if state.admit(req, resp):
            shown = state.instances.show(state.faults)
            write_json(resp, {'instances': shown})

    def put(req: falcon.Request, resp: falcon.Response, name: str) -> None:
        state.instances.put(name, read_json(req))
        write_json(resp, {})

    def delete(req: falcon.Request, resp: falcon.Response, name: str) -> None:
        state.instances.delete(name)
        write_json(resp, {})

    route(app, '/v1/instances', get=show)
    route(app, '/v1/instances/{name}', put=put, delete=delete)


def _add_control_routes(app: falcon.App, state: _State) -> None:
    """Add the routes that set faults and show call counts."""

    def set_faults(req: falcon.Request, resp: falcon.Response) -> None:
        state.apply_faults(read_json(req, Faults))
        write_json(resp, {})

    def show_calls(req: falcon.Request, resp: falcon.Response) -> None:
        write_json(resp, state.calls)

    route(app, '/control/faults', post=set_faults)
    route(app, '/control/calls', get=show_calls)
