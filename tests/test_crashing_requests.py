"""Requests that crash upstreams are stopped, whichever way they come."""

import contextlib
import io
import json
from collections.abc import Callable, Iterator
from typing import Any

import falcon
import gevent
import pytest

from standins._web import Server, reset_connection
from tests.test_instance import _TRAINER, RunningInstance

_DOWN_SECONDS = 0.3
_REPEATS = 12
_LIMIT_SECONDS = 30
# The driver has repeated a failed sample several times by then.
_SETTLE_SECONDS = 8
# Three are needed to know it, and up to five if it can't be told from others.
_MAX_CRASHES = 5
# A sample and its score are owed and repeated. In `_SETTLE_SECONDS` the pauses
# between assignments leave room for six, each of up to three attempts.
_MAX_OWED_CRASHES = 18


class _Crashable:
    """An upstream that ends when it gets a marked request, and returns."""

    crashes = 0
    mark = b'crash'

    def __init__(self, app: falcon.App) -> None:
        self._app = app
        self._running: list[falcon.Request] = []
        self._server = Server(self)  # type: ignore[arg-type]
        self.address = self._server.address

    def __call__(
        self, env: dict[str, Any], start_response: Callable[..., Any]
    ) -> Any:
        """Serve a request."""
        body = env['wsgi.input'].read()
        env['wsgi.input'] = io.BytesIO(body)
        request = falcon.Request(env)
        self._running.append(request)
        if self.mark not in body and self.mark.decode() not in env['PATH_INFO']:
            return self._app(env, start_response)
        type(self).crashes += 1
        gevent.sleep(0.01)
        self._break_connections()
        gevent.spawn(self._restart)
        return []

    def stop(self) -> None:
        """Stop for good."""
        self._server.stop()

    def _break_connections(self) -> None:
        for request in self._running:
            with contextlib.suppress(OSError):
                reset_connection(request)
        self._running.clear()

    def _restart(self) -> None:
        self._server.stop()
        gevent.sleep(_DOWN_SECONDS)
        port = int(self.address.rpartition(':')[2])
        self._server = Server(self, port)  # type: ignore[arg-type]


@pytest.fixture(name='running')
def start_instance() -> Iterator[RunningInstance]:
    """Run one instance with upstreams that can crash."""
    _Crashable.crashes = 0
    instance = RunningInstance(_Crashable)  # type: ignore[arg-type]
    yield instance
    instance.stop()


def _repeat(
    running: RunningInstance, path: str, body: Any
) -> tuple[int, bytes, dict[str, str]]:
    """Repeat a request, as a caller does; return the last answer."""
    for _ in range(_REPEATS):
        answer = running.ask(path, body)
        gevent.sleep(_DOWN_SECONDS)
    return answer


def _check_stopped(answer: tuple[int, bytes, dict[str, str]]) -> None:
    """Check that a request was refused as stopped and not run."""
    status, data, headers = answer
    error = json.loads(data)['error']
    assert (status, error['code']) == (503, 'stopped')
    assert error['not_run'] == 'true'
    assert float(headers['retry-after']) > 1
    assert 3 <= _Crashable.crashes <= _MAX_CRASHES


@pytest.mark.parametrize('stream', [False, True])
def test_a_prompt_that_crashes_engines_is_stopped(
    running: RunningInstance, stream: bool
) -> None:
    """It returns again and again; each engine that runs it ends.

    Other prompts are answered afterwards.
    """
    ask = {'model': 'coach-models', 'prompt': 'crash', 'stream': stream}
    _check_stopped(_repeat(running, '/v1/completions', ask))
    running.ask_json('/v1/completions', {**ask, 'prompt': 'x', 'stream': False})


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_a_call_that_crashes_a_service_is_stopped(
    running: RunningInstance, method: str
) -> None:
    """A repeatable call is repeated here too, the other by its caller."""
    path = '/v1/services/booking-desk/crash'
    for _ in range(_REPEATS):
        answer = running.ask(path, b'x', method=method)
        gevent.sleep(_DOWN_SECONDS)
    _check_stopped(answer)
    assert running.ask('/v1/services/booking-desk/a', b'x')[0] == 200


def test_a_keyed_call_that_crashes_a_service_is_stopped(
    running: RunningInstance,
) -> None:
    """Its caller takes a new key each time, as the outcome is unknown."""
    path = '/v1/services/booking-desk/crash'
    for number in range(_REPEATS):
        headers = {'Idempotency-Key': f'key-{number}'}
        answer = running.ask(path, b'x', **headers)
        gevent.sleep(_DOWN_SECONDS)
    _check_stopped(answer)


def _submit_step(running: RunningInstance, *prompts: str) -> None:
    """Submit a step with one sample for each prompt."""
    run = '/v1/runs/plan-batches'
    groups = [
        {'group_id': name, 'prompt': name, 'samples': 1, 'max_tokens': 8}
        for name in prompts
    ]
    running.ask_json(f'{run}/versions', {'version': 1}, _TRAINER)
    step = {'step_id': 'one', 'groups': groups}
    running.ask_json(f'{run}/steps', step, _TRAINER)


def _pull(
    running: RunningInstance, cursor: str | None = None
) -> tuple[list[str], str]:
    """Return the groups of the samples after a cursor, and the next cursor."""
    pull = {'cursor': cursor, 'max_samples': 2, 'wait_s': 1}
    batch = running.ask_json('/v1/runs/plan-batches/batches', pull, _TRAINER)
    return [one['group_id'] for one in batch['samples']], batch['cursor']


def _check_samples(
    running: RunningInstance, owed: str, mend: Callable[[], None]
) -> None:
    """Check that a sample is delivered once its upstreams are mended.

    The other one is delivered before.
    """
    with gevent.Timeout(_LIMIT_SECONDS):
        while _Crashable.crashes < 3:
            gevent.sleep(_DOWN_SECONDS)
    gevent.sleep(_SETTLE_SECONDS)
    groups, cursor = _pull(running)
    assert groups == ['other']
    assert _Crashable.crashes <= _MAX_OWED_CRASHES
    mend()
    with gevent.Timeout(_LIMIT_SECONDS):
        while not groups or groups == ['other']:
            groups, cursor = _pull(running, cursor)
    assert groups == [owed]


def test_a_sample_whose_engines_crashed_is_delivered(
    running: RunningInstance, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its step stayed incomplete until an operator removed a record."""
    _submit_step(running, 'crash', 'other')
    _check_samples(
        running,
        'crash',
        lambda: monkeypatch.setattr(_Crashable, 'mark', b'mended'),
    )


def test_a_sample_whose_scoring_service_crashed_is_delivered(
    running: RunningInstance,
) -> None:
    """Its worker asks for the score again, and so does the next one."""
    scoring: Any = running.scoring
    scoring.mark = b'unrated'
    _submit_step(running, 'unrated', 'other')
    _check_samples(
        running, 'unrated', lambda: setattr(scoring, 'mark', b'mended')
    )
