"""Objects by other writers: any bytes, wrong types, unknown values."""

import contextlib
import itertools
import json
import logging
import string

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavagate.feeds import FeedTable
from guavagate.feeds._messages import FeedEntry
from guavagate.jobs import JobId, JobStore
from guavagate.jobs._models import chunk_path, job_path
from guavagate.measure.fakes import World
from guavagate.models import Revision, UpstreamId, ZoneId
from guavagate.platform._manifest import decode_manifest
from guavagate.platform._servers import decode_server, decode_version
from guavagate.ports.store import StoredObject
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import list_holders
from guavagate.routing import UpstreamTable
from tests.helpers.odd_bodies import (
    DEEP_LIST,
    DEEP_OBJECT,
    LONG_NUMBER,
    ODD_JSON,
)
from tests.jobs.fleet import JobFleet, make_job
from tests.platform.test_wire import _make_store

_SERVER = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 12,
    'state': 'ready',
    'cold-remaining-ms': 0,
    'seq': 4,
    'models': [{'name': 'm', 'version': 3}],
    'born': 1_700_000_000_000,
}
_READ = ('service', 'address', 'zone', 'slots', 'state')

_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(string.printable),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(
    st.binary()
    | _JSON.map(msgspec.json.encode)
    | st.sampled_from(list(ODD_JSON.values()))
)
def test_decoders_raise_only_value_errors(value: bytes) -> None:
    """For any bytes, a decoder returns or raises `ValueError`.

    Any other error would end the task that reads the remaining objects.
    """
    for decode in (_decode_server, decode_version, decode_manifest):
        with contextlib.suppress(ValueError):
            decode(value)


def _decode_server(value: bytes) -> Upstream:
    return decode_server('i-1', value)


@given(st.sampled_from(_READ), _JSON)
def test_a_registration_is_accepted_only_with_all_required_fields(
    field: str, value: object
) -> None:
    """One field has another type or value, or is missing.

    If the registration is accepted nevertheless, work can be sent to it.
    """
    for entry in (
        {**_SERVER, field: value},
        {name: each for name, each in _SERVER.items() if name != field},
    ):
        try:
            upstream = decode_server('i-1', msgspec.json.encode(entry))
        except ValueError:
            continue
        assert upstream.address.rpartition(':')[2].isdigit()
        assert isinstance(upstream.slots, int)
        assert upstream.leaving == (entry['state'] == 'draining')


@pytest.mark.parametrize('state', ['', 'READY', 'retired', 'joining'])
def test_a_registration_with_an_unknown_state_is_rejected(state: str) -> None:
    """Work might otherwise be sent to something that is not a sampler."""
    with pytest.raises(ValueError, match='state'):
        decode_server('i-1', msgspec.json.encode({**_SERVER, 'state': state}))


@pytest.mark.parametrize(
    ('field', 'text'),
    [
        ('born', '1e999'),
        ('born', '-1e400'),
        ('slots', '99999999999999999999999'),
        ('address', '"10.0.0.1:99999"'),
        ('address', '"10.0.0.1:0"'),
        ('address', '"10.0.0.1:\u0662"'),
        ('address', '"nowhere"'),
        ('address', '"fe80::1%eth0:80"'),
        ('address', r'"fe80::1%\u0000:80"'),
        ('cold-remaining-ms', '9' * 300),
        ('cold-remaining-ms', '1e999'),
        ('leaves_ms', '9' * 300),
        ('address', '":80"'),
    ],
)
def test_a_registration_out_of_range_is_rejected(field: str, text: str) -> None:
    """Accepted, it would raise where a connection is made or a number used.

    Requests are not retried after an error of that kind.
    """
    entry = {**_SERVER, field: msgspec.Raw(text.encode())}
    with pytest.raises(ValueError, match=r'\w+'):
        decode_server('i-1', msgspec.json.encode(entry))


def _entry(name: str, value: bytes, version: int) -> FeedEntry:
    return FeedEntry(
        path=f'servers/{name}', version=Revision(version), value=value
    )


def test_an_unreadable_registration_hides_no_other(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A relay's snapshot has an unreadable registration between valid ones.

    If decoding stopped there, the samplers after it would stay unknown. It
    changes with each heartbeat but is logged once. A registration that becomes
    unreadable removes its sampler.
    """
    world = World()
    upstreams = UpstreamTable(world.clock, ZoneId('z'))

    def put(stored: StoredObject) -> None:
        name = stored.path.partition('/')[2]
        upstreams.put(decode_server(name, stored.value))

    table = FeedTable()
    table.register_handlers(
        'servers', put, lambda name: upstreams.remove(UpstreamId(name))
    )
    good = msgspec.json.encode(_SERVER)
    changes_seen: list[FeedEntry] = []
    table.on_change = changes_seen.append
    entries = [
        _entry('a', good, 1),
        _entry('b', b'"\xff', 2),
        _entry('c', good, 3),
    ]
    with caplog.at_level(logging.INFO):
        table.apply_snapshot(
            entries,
            Revision(3),
            ('servers',),
        )
        for version in range(4, 30):
            table.apply(_entry('b', b'"\xff', version))
    assert sorted(each.id for each in upstreams.registered()) == ['a', 'c']
    text = 'An object in the store cannot be read and is not used'
    assert sum(text in each.message for each in caplog.records) == 1
    assert len(changes_seen) == 29
    table.apply(_entry('c', b'{}', 30))
    assert [each.id for each in upstreams.registered()] == ['a']


# A lone surrogate as JSON escapes it.
_LONE_SURROGATE = json.dumps(chr(0xD800)).encode()
_OBJECT = b'{"metadata":{"name":"%s","revision":5},"spec":%s}'


@pytest.mark.parametrize(
    'bad',
    [
        b'{"metadata":{"name":7},"spec":{}}',
        b'{"spec":{}}',
        b'[]',
        _OBJECT % (b'x', b'{"a":%s}' % _LONE_SURROGATE),
        _OBJECT % (b'x', b'{"a":NaN}'),
        _OBJECT % (b'x', b'{"a":"\xff\xfe"}'),
        _OBJECT % (b'x', b'{"a":%s}' % DEEP_LIST),
        _OBJECT % (b'x', b'{"a":[%s,NaN]}' % DEEP_OBJECT),
        _OBJECT % (b'x', b'{"a":[%s,1e999,NaN]}' % LONG_NUMBER),
        b'{"metadata":%s,"spec":{}}' % DEEP_OBJECT,
    ],
    ids=map(str, itertools.count()),
)
def test_an_unreadable_object_of_a_page_hides_no_other(bad: bytes) -> None:
    """One entry of another writer ended the tasks that follow its prefix.

    It has no name, half of a character, invalid UTF-8, a number out of range,
    or lists within lists.
    """
    page = b'{"items":[%s,%s,%s],"has-more":false,"store-revision":9}'
    good = [_OBJECT % (name, b'{"v":1}') for name in (b'a', b'c')]
    body = page % (good[0], bad, good[1])
    event = b'{"events":[{"object":%s},{"object":%s}],"store-revision":9}'
    store, _ = _make_store((200, body), (200, event % (bad, good[1])))
    objects, _ = store.list_under('k')
    names = [each.path for each in objects if each.path != 'k/x']
    assert names == ['k/a', 'k/c']
    changes, _ = store.watch('k', Revision(5), 1)
    assert changes[-1].path == 'k/c'


def test_unreadable_records_do_not_stop_a_job_owner() -> None:
    """Jobs, results and leases contain objects that guavagate did not write.

    The job owner finishes its own job and the results keep their positions;
    an unreadable job counts as never accepted.
    """
    fleet = JobFleet()
    store = fleet.world.store
    store.change(job_path(JobId('other')), b'{"id":7}')
    store.change(chunk_path(JobId('job-1'), 0), b'[1]')
    store.change('leases/x', b'null')
    store.change(job_path(JobId('deep')), b'{"id":%s}' % DEEP_OBJECT)
    store.change(chunk_path(JobId('job-1'), 1), b'{"x":%s}' % DEEP_LIST)
    store.change('leases/y', b'{"x":%s}' % DEEP_LIST)
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(20)
    _, results = fleet.read('job-1', 'b')
    assert len({each.id for each in results}) == len(results) == 6
    job_store = JobStore(fleet.world.store_of('a'), fleet.clock, 'a')
    task = fleet.clock.spawn(job_store.read, JobId('other'))
    holders = fleet.clock.spawn(list_holders, job_store.object_store)
    fleet.clock.run_until(lambda: task.ready() and holders.ready(), 5)
    assert task.get(block=False) is None
    assert not holders.get(block=False)
