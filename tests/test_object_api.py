"""Tests of the object API client, with its stand-in or in virtual time."""

import random
from collections.abc import Iterator

import gevent
import msgspec
import pytest

from guavagate.clock import PausedClock, SystemClock
from guavagate.exceptions import StoreConflictError, StoreUnavailableError
from guavagate.integrations.instance_list import InstanceListPoller
from guavagate.integrations.object_api import (
    ObjectApi,
    Priority,
)
from guavagate.integrations.object_api._token_bucket import TokenBucket
from guavagate.integrations.object_api.models import (
    Answer,
    Call,
    NoAnswerError,
    Transport,
)
from guavagate.integrations.object_api.transport import make_http_transport
from guavagate.models import Revision
from guavagate.ports.store import WatchCompactedError
from standins import object_api
from standins._web import Server, serve

CREDENTIAL = 'platform'
ABSENT = Revision(0)


@pytest.fixture(name='server')
def start_server() -> Iterator[Server]:
    """Start the stand-in."""
    options = object_api.ObjectApiOptions(credential=CREDENTIAL, kept_changes=3)
    server = serve(object_api.make_app(options))
    yield server
    server.stop()


@pytest.fixture(name='transport')
def make_transport(server: Server) -> Transport:
    """Return a transport to the stand-in."""
    return make_http_transport(
        f'http://{server.address}', CREDENTIAL, SystemClock()
    )


@pytest.fixture(name='store')
def make_store(transport: Transport) -> ObjectApi:
    """Return the client."""
    return ObjectApi(transport, SystemClock(), lambda: 9)


def set_faults(transport: Transport, **faults: object) -> None:
    """Set the faults of the stand-in."""
    body = msgspec.json.encode(faults)
    call = Call(method='POST', path='/control/faults', body=body, timeout=5)
    assert transport(call).status == 200


def test_objects_have_versions_and_conditions(store: ObjectApi) -> None:
    """A write with another expected version conflicts and changes nothing."""
    first = store.put('partitions/1', b'a', ABSENT)
    second = store.put('partitions/1', b'b', first)
    with pytest.raises(StoreConflictError):
        store.put('partitions/1', b'c', first)
    found = store.get('partitions/1')
    assert found is not None
    assert (found.value, found.version) == (b'b', second)
    assert store.list_under('partitions/') == ([found], second)
    changes, revision = store.watch('partitions/', first, 1)
    assert [change.value for change in changes] == [b'b']
    store.delete('partitions/1', second)
    assert store.get('partitions/1') is None
    for number in range(5):
        store.put('partitions/2', b'%d' % number, None)
    with pytest.raises(WatchCompactedError):
        store.watch('partitions/', revision, 1)


def test_a_write_whose_answer_is_lost_is_not_repeated(
    store: ObjectApi, transport: Transport
) -> None:
    """A write takes effect and its answer is lost.

    A retry would conflict with its own version and look like another's write.
    The error therefore states that it may be written, and the writer reads
    the object back.
    """
    set_faults(transport, lose_answers=1)
    with pytest.raises(StoreUnavailableError) as raised:
        store.put('partitions/1', b'a', ABSENT)
    assert raised.value.may_be_written
    set_faults(transport)
    found = store.get('partitions/1')
    assert found is not None
    assert found.value == b'a'


def test_stale_answers_are_rejected(
    store: ObjectApi, transport: Transport
) -> None:
    """The platform answers from a snapshot made before the last writes.

    Objects that were replaced, deleted or created since then are rejected;
    unchanged ones can still be read.
    """
    store.put('settings/same', b'1', None)
    store.put('settings/new', b'1', None)
    store.put('settings/gone', b'1', None)
    set_faults(transport, stale_reads=True)
    store.put('settings/new', b'2', None)
    store.put('settings/late', b'1', None)
    store.delete('settings/gone', None)
    for path in ('settings/new', 'settings/late', 'settings/gone'):
        with pytest.raises(StoreUnavailableError, match='old copy'):
            store.get(path)
    with pytest.raises(StoreUnavailableError, match='old copy'):
        store.list_under('settings/')
    assert store.get('settings/same') is not None
    set_faults(transport)
    assert store.get('settings/gone') is None


def test_the_instance_list_skips_malformed_entries(
    transport: Transport,
) -> None:
    """One malformed entry hides no other instance."""
    entry = {
        'availability_zone': 'jhb-east',
        'region': 'gauteng',
        'peer_address': '127.0.0.1:1',
        'http_address': '127.0.0.1:2',
    }
    body = msgspec.json.encode(entry)
    call = Call(method='PUT', path='/v1/instances/a', body=body, timeout=5)
    transport(call)
    set_faults(transport, ghosts=[{'id': 'b'}, {**entry, 'id': 'c'}])
    received: list[str] = []
    poller = InstanceListPoller(
        transport,
        SystemClock(),
        lambda peers: received.extend(p.id for p in peers),
    )
    listed = poller.poll()
    assert listed is not None
    assert [each.to_peer().id for each in listed] == ['a', 'c']


class Platform:
    """A platform in virtual time that is down at first."""

    def __init__(self, clock: PausedClock) -> None:
        self.clock = clock
        self.down = True
        self.calls: list[float] = []
        self.paths: list[str] = []

    def answer(self, call: Call) -> Answer:
        """Answer at once, or time out."""
        self.calls.append(self.clock.now())
        self.paths.append(call.path)
        if self.down:
            self.clock.sleep(call.timeout)
            raise NoAnswerError('no answer')
        return Answer(status=404)


def test_calls_resume_gradually_after_an_hour_of_outage() -> None:
    """Ten instances call all the time while the platform is down.

    Calls fail at once instead of waiting for their time limit, and the
    platform receives only a few probes. When it is back, all instances detect
    it within seconds, and their calls keep to the shared rate.
    """
    clock = PausedClock()
    platform = Platform(clock)
    stores = [
        ObjectApi(platform.answer, clock, lambda: 800, random.Random(seed))
        for seed in range(10)
    ]
    answered: set[ObjectApi] = set()

    def call_forever(store: ObjectApi) -> None:
        while True:
            try:
                store.get('partitions/1')
            except StoreUnavailableError as error:
                clock.sleep(1 if error.may_be_written else 2)
            else:
                answered.add(store)

    tasks = [
        clock.spawn(call_forever, store) for store in stores for _ in range(4)
    ]
    clock.advance(3600)
    assert all(store.is_down() for store in stores)
    probes = [at for at in platform.calls if at > clock.now() - 600]
    assert len(probes) / 600 <= len(stores) / 4.5
    platform.down = False
    returned_at = clock.now()
    clock.advance(10)
    assert len(answered) == len(stores)
    seconds = [
        int(at - returned_at) for at in platform.calls if at > returned_at
    ]
    assert max(seconds.count(each) for each in range(10)) <= 3 * len(stores)
    gevent.killall(tasks)


def test_a_failed_write_states_whether_it_may_be_written() -> None:
    """The first writes time out and may be written; later ones are not sent.

    Writers of the latter need not read back, which would add calls to a
    platform that is down.
    """
    clock = PausedClock()
    store = ObjectApi(
        Platform(clock).answer, clock, lambda: 9, random.Random(1)
    )
    sent: list[bool] = []

    def put() -> None:
        for _ in range(7):
            with pytest.raises(StoreUnavailableError) as raised:
                store.put('partitions/1', b'x', ABSENT)
            sent.append(raised.value.may_be_written)

    clock.spawn(put)
    clock.advance(60)
    assert sent == [True] * 5 + [False] * 2


def test_records_have_priority_over_settings_and_status() -> None:
    """Takeovers are admitted even if status writes have used up the rate."""
    bucket = TokenBucket(10, 0)
    admitted = dict.fromkeys(reversed(Priority), 0)
    for priority in admitted:
        while bucket.take(priority, 0) == 0:
            admitted[priority] += 1
    assert list(admitted.values()) == [8, 6, 6]
    assert bucket.take(Priority.RECORDS, 0.1) == 0
    assert bucket.take(Priority.STATUS, 0.2) > 0
