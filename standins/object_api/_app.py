"""The object API's routes."""

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
from standins.object_api._faults import Faults, Instances, loses
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
    """How the stand-in behaves; rates are calls a second, 0 for no limit."""

    reads: float = 2000
    writes: float = 400
    kept_changes: int = RETAINED_CHANGES
    credential: str = ''
    seed: int = 0


class _State:
    """All that the routes share."""

    def __init__(self, options: ObjectApiOptions) -> None:
        self.options = options
        self.store = Store(options.kept_changes)
        self.old: Store | None = None
        self.instances = Instances()
        self.faults = Faults()
        self.draw = random.Random(options.seed)
        self.buckets = {
            'read': TokenBucket(options.reads),
            'write': TokenBucket(options.writes),
        }
        self.calls = {'read': 0, 'write': 0, 'watch': 0, 'limited': 0}

    def bring_faults(self, faults: Faults) -> None:
        """Take faults over; stale reads answer from a copy made now."""
        self.faults = faults
        self.old = None
        if faults.stale_reads:
            self.old = Store()
            self.old.revision = self.store.revision
            self.old.objects = dict(self.store.objects)

    def admit(self, req: falcon.Request, resp: falcon.Response) -> bool:
        """Apply outage, slowness, credential and rate limit."""
        gevent.sleep(self.faults.slow_ms / 1000)
        if self.faults.outage:
            write_error(resp, 503, 'outage')
            return False
        wanted = self.options.credential
        if wanted and req.get_header('Authorization') != f'Bearer {wanted}':
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
    """Return the stand-in as a WSGI application."""
    state = _State(options or ObjectApiOptions())
    app = falcon.App()
    app.req_options.strip_url_path_trailing_slash = False
    _route_objects(app, state)
    _route_instances(app, state)
    _route_control(app, state)
    return app


def _route_objects(app: falcon.App, state: _State) -> None:
    """Add the objects and watches."""
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
    """Answer with all objects under a prefix."""
    if state.admit(req, resp):
        store = state.old or state.store
        write_json(resp, _show_list(store, req.get_param('prefix') or ''))


def _get(
    state: _State, req: falcon.Request, resp: falcon.Response, path: str
) -> None:
    """Answer with one object."""
    if not state.admit(req, resp):
        return
    found = (state.old or state.store).objects.get(path)
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
    """Carry out a write; its answer may get lost."""
    header = req.get_header('X-Expected-Version')
    try:
        version = change(None if header is None else int(header))
    except Conflict as conflict:
        write_json(resp, {'version': conflict.current}, 409)
        return
    if loses(state.faults, state.draw):
        reset_connection(req)
    write_json(resp, {'version': version})


def _show_list(store: Store, prefix: str) -> dict[str, Any]:
    """Return the objects under a prefix."""
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
    """Wait for changes; an outage or stale reads show none."""
    if not state.admit(req, resp):
        return
    prefix = req.get_param('prefix') or ''
    since = req.get_param_as_int('since') or 0
    timeout = req.get_param_as_float('timeout') or 0
    try:
        changes = (state.old or state.store).watch(prefix, since, timeout)
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


def _route_instances(app: falcon.App, state: _State) -> None:
    """Add the platform's list of instances."""

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


def _route_control(app: falcon.App, state: _State) -> None:
    """Add the control of faults, and the calls counted."""

    def set_faults(req: falcon.Request, resp: falcon.Response) -> None:
        state.bring_faults(read_json(req, Faults))
        write_json(resp, {})

    def show_calls(req: falcon.Request, resp: falcon.Response) -> None:
        write_json(resp, state.calls)

    route(app, '/control/faults', post=set_faults)
    route(app, '/control/calls', get=show_calls)
