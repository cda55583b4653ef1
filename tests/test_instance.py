"""Tests of the complete path through one instance over HTTP with stand-ins."""

import contextlib
import json
import socket
from collections.abc import Callable, Iterator
from typing import Any

import falcon
import pytest
from geventhttpclient import HTTPClient

from guavagate.assembly import make_states
from guavagate.auth import hash_token
from guavagate.clock import SystemClock
from guavagate.instance import Instance
from guavagate.links import ZmqBus
from guavagate.measure.fakes import (
    FakeDecisionLog,
    FakeTeams,
    MemoryStore,
    StoreState,
)
from guavagate.membership import StaticMembers
from guavagate.models import Epoch, PartitionId
from guavagate.partitions import LocalPartitions
from guavagate.runs import PublishVersion, RunsState
from guavagate.runtime import Runtime
from guavagate.settings import (
    TeamSettings,
    parse_instance_settings,
    parse_team_settings,
)
from standins import engine as engine_standin
from standins import plain, scoring
from standins._web import Server, serve

_CALLER = 'caller-token'
_TRAINER = 'trainer-token'


def _find_free_addresses(count: int) -> list[str]:
    """Return different unused loopback addresses.

    All are bound before one is released, which the system may give out again.
    """
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(('127.0.0.1', 0))
        return [f'127.0.0.1:{probe.getsockname()[1]}' for probe in probes]


def _team(samplers: list[Server], desk: Server, score: Server) -> TeamSettings:
    declared = '\n'.join(
        f'[[deployments.samplers]]\nid = "s{place}"\nslots = 4\n'
        f'address = "{server.address}"\navailability_zone = "jhb-east"'
        for place, server in enumerate(samplers)
    )
    return parse_team_settings(f"""
team = "trust"
[[callers]]
id = "desk"
token_hash = "{hash_token(_CALLER)}"
[[callers]]
id = "coach"
role = "trainer"
token_hash = "{hash_token(_TRAINER)}"
[[deployments]]
id = "coach-models"
max_staleness = 1
scoring_service = "plans"
runs = [{{id = "plan-batches"}}]
{declared}
[[services]]
id = "booking-desk"
[[services.upstreams]]
id = "desk-0"
address = "{desk.address}"
availability_zone = "jhb-east"
[[services]]
id = "plans"
[[services.upstreams]]
id = "plans-0"
address = "{score.address}"
availability_zone = "jhb-east"
""")


class RunningInstance:
    """One instance and its stand-in upstreams.

    Parameters
    ----------
    start
        Starts the application of an upstream.
    """

    def __init__(self, start: Callable[[falcon.App], Server] = serve) -> None:
        options = engine_standin.EngineOptions(
            token_s=0.001, report_lag_s=0, swap_s=0
        )
        self.engines = [
            start(engine_standin.make_app(options)) for _ in range(2)
        ]
        self.desk = start(plain.make_app())
        self.scoring = start(scoring.make_app())
        http_address, peer_address = _find_free_addresses(2)
        settings = parse_instance_settings(f"""
id = "i1"
availability_zone = "jhb-east"
region = "gauteng"
http_address = "{http_address}"
peer_address = "{peer_address}"
platform = {{object_api = "http://127.0.0.1:1"}}
""")
        clock = SystemClock()
        members = StaticMembers(settings)
        self.bus = ZmqBus(
            settings.id, settings.peer_address, members.address, clock
        )
        self.teams = FakeTeams([_team(self.engines, self.desk, self.scoring)])
        states = make_states(PartitionId(0))
        runs = states[PublishVersion]
        assert isinstance(runs, RunsState)
        runtime = Runtime(
            settings=settings,
            clock=clock,
            bus=self.bus,
            store=MemoryStore(clock, StoreState()),
            members=members,
            teams=self.teams,
            partitions=LocalPartitions(states),
            decisions=FakeDecisionLog(),
        )
        self.instance = Instance(runtime, lambda: [(Epoch(1), runs)])
        self.bus.start()
        self.instance.start()

    def stop(self) -> None:
        """Stop the instance and its stand-ins."""
        self.instance.server.stop(timeout=0)
        self.bus.stop()
        for server in (*self.engines, self.desk, self.scoring):
            server.stop()

    def ask(
        self,
        path: str,
        body: Any = None,
        token: str = _CALLER,
        method: str = 'POST',
        **headers: str,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send one request and return status, body and headers."""
        client = HTTPClient(
            '127.0.0.1',
            self.instance.server.server_port,
            network_timeout=20,
        )
        answer = client.request(
            method,
            path,
            body=body if isinstance(body, bytes) else json.dumps(body),
            headers={'Authorization': f'Bearer {token}', **headers},
        )
        data = bytes(answer.read())
        client.close()
        received = {name.lower(): value for name, value in answer.items()}
        return answer.status_code, data, received

    def ask_json(
        self, path: str, body: Any, token: str = _CALLER
    ) -> dict[str, Any]:
        """Send a request that must succeed and return its JSON."""
        status, data, _ = self.ask(path, body, token)
        assert status == 200, data
        answer: dict[str, Any] = json.loads(data)
        return answer


@pytest.fixture(name='running')
def start_instance() -> Iterator[RunningInstance]:
    """Run one instance with its stand-ins."""
    instance = RunningInstance()
    yield instance
    instance.stop()


def test_a_completion_names_its_sampler_and_version(
    running: RunningInstance,
) -> None:
    """A complete answer and a stream name the sampler and the version."""
    ask = {'model': 'coach-models', 'prompt': 'plan a week', 'max_tokens': 12}
    answer = running.ask_json('/v1/completions', ask)
    text = answer['choices'][0]['text']
    tokens = answer['usage']['completion_tokens']
    assert 0 < tokens <= 12
    assert answer['guavagate']['versions'] == [[1, tokens]]
    status, data, headers = running.ask(
        '/v1/completions', {**ask, 'stream': True}
    )
    events = [line[6:] for line in data.split(b'\n') if line[:6] == b'data: ']
    assert status == 200
    assert events[-1] == b'[DONE]'
    pieces = [json.loads(event)['choices'] for event in events[:-1]]
    streamed = ''.join(one[0]['text'] for one in pieces if one)
    shorter, longer = sorted((text, streamed), key=len)
    assert shorter
    assert longer.startswith(shorter)
    assert headers['x-guavagate-sampler'] in {'s0', 's1'}


def test_a_plain_service_receives_path_and_body(
    running: RunningInstance,
) -> None:
    """The caller receives the upstream's status and body."""
    status, data, _ = running.ask('/v1/services/booking-desk/slots?day=3', b'x')
    assert status == 200
    assert data == b'slots POST /slots x'


def test_a_trainer_receives_each_sample_once_with_its_versions(
    running: RunningInstance,
) -> None:
    """Repeated submissions and pulls neither duplicate nor lose samples."""
    run = '/v1/runs/plan-batches'
    groups = [
        {'group_id': f'g{n}', 'prompt': f'p{n}', 'samples': 2, 'max_tokens': 8}
        for n in range(3)
    ]
    running.ask_json(f'{run}/versions', {'version': 1}, _TRAINER)
    step = {'step_id': 'one', 'groups': groups}
    running.ask_json(f'{run}/steps', step, _TRAINER)
    running.ask_json(f'{run}/steps', step, _TRAINER)
    delivered: list[str] = []
    cursor = None
    complete = False
    while not complete:
        pull = {'cursor': cursor, 'max_samples': 2, 'wait_s': 10}
        batch = running.ask_json(f'{run}/batches', pull, _TRAINER)
        assert running.ask_json(f'{run}/batches', pull, _TRAINER) == batch
        assert batch['follows'] == cursor
        assert {one['versions'][0][0] for one in batch['samples']} == {1}
        assert all(one['score'] is not None for one in batch['samples'])
        delivered.extend(one['sample_id'] for one in batch['samples'])
        cursor, complete = batch['cursor'], batch['complete']
    assert sorted(delivered) == sorted(
        f'one/g{group}/{index}' for group in range(3) for index in range(2)
    )


@pytest.mark.parametrize(
    ('body', 'status', 'code'),
    [
        (b'{"model": ', 400, 'malformed_json'),
        ({'model': 'coach-models'}, 422, 'invalid_body'),
        ({'model': 'other', 'prompt': 'x'}, 404, 'unknown_deployment'),
    ],
)
def test_invalid_input_is_refused_and_not_run(
    running: RunningInstance, body: Any, status: int, code: str
) -> None:
    """The refusal has the right status and code and says it did not run."""
    got, data, _ = running.ask('/v1/completions', body)
    error = json.loads(data)['error']
    assert (got, error['code'], error['not_run']) == (status, code, 'true')
