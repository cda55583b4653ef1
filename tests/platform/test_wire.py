"""Decoding and encoding of the platform's messages."""

from pathlib import Path

import msgspec
import pytest

from guavagate.exceptions import (
    SettingsError,
    StoreConflictError,
    StoreUnavailableError,
)
from guavagate.http1 import Request
from guavagate.integrations.object_api.models import Answer, Call
from guavagate.jobs import (
    BadJobError,
    Job,
    JobItem,
    Page,
    Result,
    ResultState,
)
from guavagate.models import Revision, ServiceId, UpstreamId, ZoneId
from guavagate.platform._dialect import PlatformDialect
from guavagate.platform._jobs import decode_submission, encode_page
from guavagate.platform._manifest import decode_manifest
from guavagate.platform._servers import decode_server
from guavagate.platform._settings import load_settings
from guavagate.platform._store import PlatformStore
from guavagate.ports import dialect
from guavagate.ports.configuration import RouteKind
from guavagate.ports.store import WatchCompactedError
from guavagate.ports.upstreams import Upstream
from tests.routing.test_routes import make_route

_MANIFEST = b"""{"version":7,"routes":[
{"name":"r1","host":"A.example","path-prefix":"/p/","route-type":"rollout",
"timeout-ms":10000,"target-latency-ms":400,"priority":1,"service":"s1",
"max-attempts":3,"item-ttl-s":40.0,"target-run-ms":7500,
"single-version":false,"resumable":true},
{"name":"r2","host":"a.example","path-prefix":"/q/","route-type":"new_kind",
"timeout-ms":1500,"backends":[{"service":"s1","weight":90},
{"service":"s2","weight":10}],"later-field":1}],
"services":[{"name":"s1","max-conns":150,"engine":{"slots":12,
"kv-capacity":94141,"models":[{"name":"m"}]}}],
"limits":{"max-body-bytes":1000,"idle-timeout-ms":15000}}"""

_ITEM = {
    'id': 'i1',
    'path': '/p/1',
    'headers': {'Guavagate-Length-Hint': '400'},
    'body': 'q83vEg==',
    'tokens': 940,
    'group-id': 'g1',
}


def test_a_manifest_becomes_routes_and_services() -> None:
    """Times become seconds; an unknown kind is treated as the strictest."""
    configuration = decode_manifest(_MANIFEST)
    job, other = configuration.routes
    assert (job.kind, job.timeout, job.host) == (RouteKind.JOB, 10, 'a.example')
    assert job.job_objective == 7.5
    assert other.kind is RouteKind.NON_IDEMPOTENT
    assert [share.weight for share in other.shares] == [90, 10]
    assert configuration.services[0].models == ('m',)
    assert configuration.limits.body_bytes == 1000


def test_a_registrations_counter_is_not_read_as_orders() -> None:
    """`seq` counts heartbeats in a registration and orders in a report."""
    upstream = decode_server(
        'i-1',
        b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":12,'
        b'"state":"draining","models":[{"name":"m","version":3}],"seq":9}',
    )
    assert upstream.leaving
    assert upstream.versions == {'m': 3}


def _submit(**fields: object) -> bytes:
    submission = {'items': [_ITEM], 'model': 'm', 'min-version': 6}
    return msgspec.json.encode({**submission, **fields})


def _with_reward(**fields: object) -> dict[str, object]:
    scorer = {'id': 'r1', 'host': 'A.example', 'path': '/q/1', 'body': 'AP8='}
    return {**_ITEM, 'scorer': {**scorer, **fields}}


def _decode(body: bytes, name: str = 'id-1') -> Job:
    return decode_submission(
        name, body, make_route('/p/'), ServiceId('s'), 5, {'a.example'}
    )


def test_an_item_names_its_reward_request() -> None:
    """The body is decoded; the host matches in upper or lower case."""
    reward = _decode(_submit(items=[_with_reward()])).items[0].reward
    assert reward is not None
    assert (reward.id, reward.host, reward.path) == ('r1', 'A.example', '/q/1')
    assert reward.body == b'\x00\xff'


def test_a_signature_is_encoded_if_present() -> None:
    """The result of an item without a reward has no `score` field."""
    rated = Result('i1', ResultState.COMPLETED, 'a', [6], 's-1')  # type: ignore[arg-type, list-item]
    plain = Result('i2', ResultState.COMPLETED, 'a', [6])  # type: ignore[arg-type, list-item]
    page = msgspec.json.decode(encode_page(Page(2, 2, [rated, plain])))
    assert page['results'][0]['score'] == 's-1'
    assert 'score' not in page['results'][1]


def test_a_submission_becomes_a_job() -> None:
    """Bodies are decoded; length hints come from the items' headers."""
    job = decode_submission(
        'id-1', _submit(step=7), make_route('/p/'), ServiceId('s'), 5
    )
    item: JobItem = job.items[0]
    assert (job.step, job.min_version, item.group) == (7, 6, 'g1')
    assert item.body == bytes.fromhex('abcdef12')
    assert item.expected_tokens == 400


@pytest.mark.parametrize(
    'body',
    [
        b'{',
        b'[]',
        _submit(items=[]),
        _submit(items=[_ITEM, _ITEM]),
        _submit(items=[{**_ITEM, 'body': '!'}]),
        _submit(items=[{'id': 'i1'}]),
        _submit(items=[_with_reward(id='')]),
        _submit(items=[_with_reward(body='!')]),
        _submit(items=[_with_reward(host='other.example')]),
        _submit(items=[_with_reward(path='x')]),
        _submit(items=[_with_reward(path='/x y')]),
        _submit(items=[_with_reward(path='/\u00e9')]),
        _submit(items=[_with_reward(id='\u00e9')]),
        _submit(items=[_with_reward(body='QUFB' * 400_000)]),
        _submit(items=[_with_reward(), {**_with_reward(), 'id': 'i2'}]),
        _submit(items=[{**_ITEM, 'scorer': {'id': 'r1'}}]),
    ],
)
def test_an_invalid_submission_is_rejected_with_a_message(
    body: bytes,
) -> None:
    """Malformed JSON, no items, repeated ids, invalid base64 and others."""
    with pytest.raises(BadJobError, match=r'\w+'):
        _decode(body)


def test_an_id_with_a_slash_is_rejected() -> None:
    """An id with a slash would be another path in the store."""
    with pytest.raises(BadJobError):
        _decode(_submit(), 'a/b')


def test_results_are_encoded_by_their_wire_names() -> None:
    """Results have no positions: these follow from `next` and the order."""
    result = Result('i1', ResultState.COMPLETED, 'a\nb', [6, 7])  # type: ignore[arg-type, list-item]
    assert msgspec.json.decode(encode_page(Page(40, 13, [result]))) == {
        'total': 40,
        'next': 13,
        'results': [
            {
                'id': 'i1',
                'state': 'completed',
                'text': 'a\nb',
                'versions': [6, 7],
            }
        ],
    }


def test_a_forwarded_request_has_its_target_and_remaining_time() -> None:
    """Hop-by-hop headers are dropped, others are forwarded."""
    call = dialect.Call(
        id='1',
        request=Request(
            'POST',
            '/p/%2F',
            [
                (b'Host', b'a'),
                (b'Connection', b'keep-alive, X-Hop'),
                (b'X-Hop', b'1'),
                (b'Guavagate-Deadline-Ms', b'9999'),
                (b'X-Other', b'2'),
            ],
        ),
        body=b'',
        until=10,
    )
    upstream = Upstream(
        id=UpstreamId('i-1'),
        service=ServiceId('s'),
        address='x:1',
        zone=ZoneId('z'),
    )
    sent = PlatformDialect().prepare(call, upstream, 1.25, 0)
    assert sent.target == '/p/%2F'
    assert sent.headers == [
        (b'Host', b'a'),
        (b'X-Other', b'2'),
        (b'Guavagate-Deadline-Ms', b'1250'),
        (b'Guavagate-Target-Instance', b'i-1'),
    ]


def test_an_error_in_the_settings_names_the_missing_field(
    tmp_path: object,
) -> None:
    """The platform writes the file; the error names the missing field."""
    path = f'{tmp_path}/node.toml'
    with open(path, 'w', encoding='utf-8') as file:
        file.write('node-name = "a"\n')
    with pytest.raises(SettingsError, match='`ip`'):
        load_settings(path)


class _FakeClient:
    """Fake store connection with prepared answers."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.calls: list[Call] = []

    def call(self, call: Call, *_: object) -> Answer:
        """Return the next answer."""
        self.calls.append(call)
        return self.answers.pop(0)


def _make_store(
    *answers: tuple[int, bytes],
) -> tuple[PlatformStore, _FakeClient]:
    client = _FakeClient(
        *(Answer(status=status, body=body) for status, body in answers)
    )
    return PlatformStore(client), client  # type: ignore[arg-type]


_OBJECT = b'{"metadata":{"name":"n","revision":5},"spec":{"a":1},"status":null}'


def test_a_list_is_read_to_its_last_page() -> None:
    """The revision is the first page's; the watch starts there."""
    store, client = _make_store(
        (200, b'{"items":[%s],"has-more":true,"store-revision":9}' % _OBJECT),
        (200, b'{"items":[],"has-more":false,"store-revision":12}'),
    )
    objects, revision = store.list_under('k')
    assert [each.path for each in objects] == ['k/n']
    assert revision == 9
    assert client.calls[1].path == '/objects/k?after=n'


def test_a_conflict_contains_the_current_object() -> None:
    """A writer that lost a race finds the winner's object in the error."""
    store, _ = _make_store((409, _OBJECT))
    with pytest.raises(StoreConflictError) as caught:
        store.put('k/n', b'{}', Revision(0))
    assert caught.value.current is not None
    assert caught.value.current.value == b'{"a":1}'


def test_a_watch_reports_deleted_objects_and_compacted_history() -> None:
    """A deleted object has no value; compacted history has its own error."""
    event = b'{"events":[{"deleted":true,"object":%s}],"store-revision":8}'
    store, _ = _make_store((200, event % _OBJECT), (410, b''))
    changes, revision = store.watch('k', Revision(5), 1)
    assert (changes[0].path, changes[0].value, revision) == ('k/n', None, 8)
    with pytest.raises(WatchCompactedError):
        store.watch('k', Revision(5), 1)


def test_a_malformed_answer_raises_store_unavailable() -> None:
    """Something other than the store listens at its address."""
    store, _ = _make_store((200, b'<html>'))
    with pytest.raises(StoreUnavailableError):
        store.get('k/n')


@pytest.mark.parametrize(('line', 'limit'), [('', 0), ('memory-mb = 2', 2)])
def test_the_memory_limit_is_read_from_the_settings(
    tmp_path: Path, line: str, limit: float
) -> None:
    """Without a value there is no limit; other limits are not used."""
    path = tmp_path / 'settings.toml'
    path.write_text(
        'node-name = "n"\nip = "10.0.0.1"\nzone = "z"\nregion = "r"\n'
        f'port-range = [1, 9]\n[limits]\ncores = 0.5\n{line}\n'
        '[platform]\naddress = "10.0.0.2:80"\n'
    )
    assert load_settings(str(path)).limits.memory_mb == limit
