"""Execution of the orders that an engine receives."""

import gevent
from geventhttpclient import HTTPClient

from guavagate.models import WeightVersion
from guavagate.ports.engine import EngineOrder
from standins.engine._engine import Engine

Result = tuple[int, str]

_DONE: Result = (200, '')


def execute_order(engine: Engine, order: EngineOrder) -> Result:
    """Execute an order; return an HTTP status and an error code."""
    if engine.options.checks_fences and order.fence < engine.fence:
        return 409, 'stale_fence'
    engine.fence = max(engine.fence, order.fence)
    action = _ACTIONS.get(order.action)
    if action is None:
        return 400, 'unknown_action'
    return action(engine, order)


def _prefetch(engine: Engine, order: EngineOrder) -> Result:
    """Fetch a version in the background; reports list it once complete."""
    version = order.version
    if version is None:
        return 400, 'no_version'
    if version not in engine.prefetched:
        gevent.spawn(_fetch, engine, version)
    return 202, ''


def _fetch(engine: Engine, version: WeightVersion) -> None:
    """Fetch from the weight store; retry when it rejects or fails."""
    address = engine.options.weight_store
    path = f'/v1/weights/{engine.options.run}/{version}'
    while address and not _fetch_once(address, path):
        gevent.sleep(0.2)
    engine.prefetched.add(version)


def _fetch_once(address: str, path: str) -> bool:
    """Fetch a version once; return whether it arrived completely."""
    host, _, port = address.rpartition(':')
    client = HTTPClient(host, int(port))
    try:
        answer = client.get(path)
        answer.read()
    except OSError:
        return False
    finally:
        client.close()
    return answer.status_code == 200


def _swap(engine: Engine, order: EngineOrder) -> Result:
    """Swap the weights; streams pause, then continue on the new version."""
    version = order.version
    if version is None:
        return 400, 'no_version'
    if engine.options.weight_store and version not in engine.prefetched:
        return 409, 'not_prefetched'
    engine.serving.clear()
    gevent.sleep(engine.options.swap_s * engine.faults.slow)
    if engine.faults.fail_swaps:
        engine.faults.fail_swaps -= 1
        engine.serving.set()
        return 500, 'swap_failed'
    engine.version = version
    engine.prefetched.add(version)
    engine.cache.clear()
    engine.serving.set()
    return _DONE


def _load_adapter(engine: Engine, order: EngineOrder) -> Result:
    """Load an adapter."""
    engine.adapters.add(order.name)
    return _DONE


def _unload_adapter(engine: Engine, order: EngineOrder) -> Result:
    """Unload an adapter."""
    engine.adapters.discard(order.name)
    return _DONE


def _set_role(engine: Engine, order: EngineOrder) -> Result:
    """Set the role: prefill, decode or both."""
    engine.role = order.name
    return _DONE


_ACTIONS = {
    'prefetch': _prefetch,
    'swap': _swap,
    'load_adapter': _load_adapter,
    'unload_adapter': _unload_adapter,
    'set_role': _set_role,
}
