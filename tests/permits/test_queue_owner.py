"""Tests of queue owners and permits while instances fail or lose messages."""

import pytest

from guavagate.clock import Task
from guavagate.decisions import Work, WorkKind
from guavagate.exceptions import RefusalError
from guavagate.measure.fakes import FakeDecisionLog, FakeTeams, World
from guavagate.models import (
    CallerId,
    InstanceId,
    RequestId,
    RunId,
    SamplerId,
    TeamId,
)
from guavagate.partitions import LocalPartitions
from guavagate.permits import (
    FailedAttempt,
    Permit,
    PermitClient,
    QueueOwner,
    Release,
    ReleasePermit,
    find_queue_owner,
    serve_queue_owner,
)
from guavagate.quarantine import Quarantine
from guavagate.runtime import Runtime
from guavagate.settings import TeamSettings, parse_team_settings
from tests.quarantine.common import describe, make_quarantine, stop

_POOL = 'trust/booking-desk/0'
_TEAM = parse_team_settings("""
team = "trust"
[[services]]
id = "booking-desk"
concurrency = 2
[[services.upstreams]]
id = "desk"
address = "127.0.0.1:1"
availability_zone = "zone-0"
""")


class Entries:
    """Three instances that share the upstreams of a team.

    By default that is one with two slots.
    """

    def __init__(self, team: TeamSettings = _TEAM) -> None:
        self._team = team
        self.world = World(1)
        self.clock = self.world.clock
        self.clients: dict[str, PermitClient] = {}
        self.quarantines: dict[str, Quarantine] = {}
        self.queue_owners: dict[str, QueueOwner] = {}
        for name in 'abc':
            self.world.add(name)
        for name in 'abc':
            self._start(name)
        self.clock.advance(1)

    def _start(self, name: str) -> None:
        instance = InstanceId(name)
        runtime = Runtime(
            settings=self.world.settings_of(name),
            clock=self.world.hosts[instance].clock,
            bus=self.world.bus(name),
            store=self.world.store_of(name),
            members=self.world.members[instance],
            teams=FakeTeams([self._team]),
            partitions=LocalPartitions({}),
            decisions=FakeDecisionLog(),
        )
        self.queue_owners[name] = QueueOwner(runtime)
        serve_queue_owner(runtime, self.queue_owners[name])
        self.quarantines[name] = make_quarantine(runtime.clock)
        self.clients[name] = PermitClient(
            runtime, self.queue_owners[name], self.quarantines[name]
        )
        self.queue_owners[name].start()
        self.clients[name].start()

    def find_owner(self, pool: str = _POOL) -> str:
        """Return a pool's queue owner."""
        alive = self.world.members[InstanceId('a')].alive()
        return str(find_queue_owner(pool, alive))

    def list_others(self) -> list[str]:
        """Return the instances that are not the queue owner."""
        return [name for name in 'abc' if name != self.find_owner()]

    def request(self, name: str, request_id: str, seconds: float = 60) -> Task:
        """Request a permit in a task of its instance."""
        work = Work(
            id=RequestId(request_id),
            team=TeamId('trust'),
            caller=CallerId('desk'),
            deadline=self.clock.now() + seconds,
            expected_tokens=1,
        )
        clock = self.world.hosts[InstanceId(name)].clock
        return clock.spawn(self.clients[name].acquire, _POOL, work)

    def get(self, name: str, request_id: str) -> Permit:
        """Request a permit and wait for it."""
        task = self.request(name, request_id)
        assert self.clock.run_until(task.ready, 30)
        permit: Permit = task.get(block=False)
        return permit

    def count_running(self, name: str) -> int:
        """Return how much work an instance's queue owner counts as running."""
        return sum(
            one.pool.running for one in self.queue_owners[name].list_owned()
        )


def test_no_more_run_than_the_upstream_has_slots() -> None:
    """Three entries request at once; the third waits until a slot is free."""
    entries = Entries()
    first = entries.get('a', 'r1')
    entries.get('b', 'r2')
    third = entries.request('c', 'r3')
    entries.clock.advance(5)
    assert not third.ready()
    entries.clients['a'].release(first, Release.DONE, tokens=1, seconds=1)
    assert entries.clock.run_until(third.ready, 1)


def test_a_killed_queue_owner_loses_no_work_and_overloads_nothing() -> None:
    """Two permits are in use and one request waits when the owner is killed.

    The waiting entry sends its request to the next queue owner under the same
    id. Both entries have sent that owner their permits before it grants any,
    so the request gets a permit only when one of the two is released.
    """
    entries = Entries()
    owner, (one, two) = entries.find_owner(), entries.list_others()
    permit = entries.get(one, 'r1')
    entries.get(two, 'r2')
    waiting = entries.request(one, 'r3')
    entries.clock.advance(1)
    entries.world.kill(owner)
    entries.clock.advance(8)
    successor = str(
        find_queue_owner(_POOL, entries.world.members[InstanceId(one)].alive())
    )
    assert entries.count_running(successor) == 2
    assert not waiting.ready()
    entries.clients[one].release(permit, Release.DONE, tokens=1, seconds=1)
    assert entries.clock.run_until(waiting.ready, 5)
    assert waiting.get(block=False).work_id == 'r3'


def test_a_new_queue_owner_waits_for_the_permits_in_use() -> None:
    """The new owner sees the failure before the entry with the permits does.

    Its own caller requests a permit at once, which would be a third for two
    slots. The owner waits half a second, receives the two permits in use, and
    queues the third request.
    """
    entries = Entries()
    owner, names = entries.find_owner(), entries.list_others()
    peers = entries.world.peers
    rest = [peers[InstanceId(name)] for name in names]
    successor = str(find_queue_owner(_POOL, rest))
    other = next(name for name in names if name != successor)
    entries.get(other, 'r1')
    entries.get(other, 'r2')
    entries.world.hosts[InstanceId(owner)].kill()
    gone = peers[InstanceId(owner)]
    members = entries.world.members
    members[InstanceId(successor)].update(gone, alive=False)
    waiting = entries.request(successor, 'r3')
    entries.clock.advance(0.3)
    members[InstanceId(other)].update(gone, alive=False)
    entries.clock.advance(3)
    assert not waiting.ready()
    assert entries.count_running(successor) == 2


def test_the_slots_of_a_killed_entry_are_freed() -> None:
    """Its callers are gone as well, so others must not wait for its work."""
    entries = Entries()
    one, two = entries.list_others()
    entries.get(one, 'r1')
    entries.get(one, 'r2')
    waiting = entries.request(two, 'r3')
    entries.clock.advance(1)
    entries.world.kill(one)
    assert entries.clock.run_until(waiting.ready, 5)


def test_the_slot_of_a_lost_release_is_reclaimed() -> None:
    """The message that releases a permit is lost.

    The entry no longer uses the permit, and no other message will release it.
    The queue owner checks old permits and frees those that are not in use.
    """
    entries = Entries()
    owner, (one, _) = entries.find_owner(), entries.list_others()
    permit = entries.get(one, 'r1')
    entries.get(one, 'r2')
    entries.clients[one].drop(permit)
    entries.clock.advance(10)
    assert entries.count_running(owner) == 2
    entries.clock.advance(15)
    assert entries.count_running(owner) == 1


def test_a_request_that_misses_its_deadline_is_refused_in_time() -> None:
    """Both slots stay in use; the third request is refused as not run."""
    entries = Entries()
    entries.get('a', 'r1')
    entries.get('b', 'r2')
    requested_at = entries.clock.now()
    task = entries.request('c', 'r3', seconds=3)
    assert entries.clock.run_until(task.ready, 10)
    with pytest.raises(RefusalError) as caught:
        task.get(block=False)
    assert caught.value.not_run.value == 'true'
    assert entries.clock.now() - requested_at <= 3.5


def test_a_leaving_upstream_gets_no_more_work() -> None:
    """Its refusal reaches the queue owner at once; other work is refused."""
    entries = Entries()
    owner, (one, two) = entries.find_owner(), entries.list_others()
    permit = entries.get(one, 'r1')
    entries.clients[one].release(permit, Release.LEAVING)
    entries.clock.advance(1)
    task = entries.request(two, 'r2', seconds=4)
    entries.clock.run_until(task.ready, 10)
    assert isinstance(task.exception, RefusalError)
    assert not entries.count_running(owner)


def test_a_delayed_report_brings_no_work_to_a_leaving_upstream() -> None:
    """The upstream refuses as leaving; then an older report arrives.

    That report says that it is serving. The upstream gets work again only when
    it has reported so for longer than reports are delayed.
    """
    entries = Entries()
    owner = entries.find_owner()
    permit = entries.get(entries.list_others()[0], 'r1')
    entries.clients[entries.list_others()[0]].release(permit, Release.LEAVING)
    entries.clock.advance(1)
    queue_owner = entries.queue_owners[owner]
    owned = queue_owner.list_owned()[0]
    queue_owner.mark_serving(owned, SamplerId('desk'))
    assert not owned.pool.slots
    entries.clock.advance(10)
    queue_owner.mark_serving(owned, SamplerId('desk'))
    assert owned.pool.slots == 2


def test_a_repeated_request_gets_the_same_permit() -> None:
    """The reply with the permit was lost, and the entry repeats its request."""
    entries = Entries()
    one = entries.list_others()[0]
    permit = entries.get(one, 'r1')
    assert entries.get(one, 'r1') == permit
    owner = entries.find_owner()
    assert entries.count_running(owner) == 1
    late = ReleasePermit(
        pool=_POOL,
        work_id=RequestId('other'),
        upstream=permit.upstream,
        ended=Release.DONE,
    )
    entries.queue_owners[owner].release(InstanceId(one), late)
    assert entries.count_running(owner) == 1


def test_work_that_is_stopped_after_a_failed_attempt_frees_its_slot() -> None:
    """Its upstream was the third to end under it, and is not asked again.

    The queue owner would count the attempt as running for seconds.
    """
    entries = Entries()
    name = entries.find_owner()
    clock = entries.world.hosts[InstanceId(name)].clock
    content = describe('/bad')
    work = Work(
        id=RequestId('1'),
        team=TeamId('trust'),
        caller=CallerId('desk'),
        identity=content.identify(),
    )
    client = entries.clients[name]
    task = clock.spawn(client.acquire, _POOL, work)
    assert entries.clock.run_until(task.ready, 5)
    permit = task.get(block=False)
    client.drop(permit)
    stop(entries.quarantines[name], content)
    failed = FailedAttempt(upstream=permit.upstream, started=True)
    task = clock.spawn(client.acquire, _POOL, work, failed)
    assert entries.clock.run_until(task.ready, 1)
    assert isinstance(task.exception, RefusalError)
    assert task.exception.reason == 'stopped'
    assert not entries.count_running(name)


_MODEL_POOL = 'trust/coach-models/0'
_MODELS = parse_team_settings("""
team = "trust"
[[deployments]]
id = "coach-models"
[[deployments.samplers]]
id = "s0"
slots = 1
address = "127.0.0.1:1"
availability_zone = "zone-0"
[[deployments.samplers]]
id = "s1"
slots = 1
address = "127.0.0.1:2"
availability_zone = "zone-0"
""")


def _make_sample(name: str, step: int) -> Work:
    return Work(
        id=RequestId(name),
        team=TeamId('trust'),
        caller=CallerId('run'),
        kind=WorkKind.ROLLOUT,
        run=RunId('run'),
        step=step,
        expected_tokens=200,
    )


def test_a_sample_that_fails_as_its_speculative_run_starts_runs_again() -> None:
    """The pool has started the run, and has not told the sample's entry yet.

    The run has nobody to report its end, and the sample would wait for it.
    """
    entries = Entries(_MODELS)
    name = entries.find_owner(_MODEL_POOL)
    client = entries.clients[name]
    clock = entries.world.hosts[InstanceId(name)].clock
    straggler = _make_sample('a', step=1)
    permits = []
    for work in (straggler, _make_sample('b', step=2)):
        task = clock.spawn(client.acquire, _MODEL_POOL, work)
        assert entries.clock.run_until(task.ready, 5)
        permits.append(task.get(block=False))
    slow, other = permits
    client.report_slow(slow, token_interval=10)
    entries.clock.advance(8)
    client.release(other, Release.DONE, tokens=200, seconds=1)
    client.drop(slow)
    failed = FailedAttempt(upstream=slow.upstream, started=True)
    task = clock.spawn(client.acquire, _MODEL_POOL, straggler, failed)
    assert entries.clock.run_until(task.ready, 5)
    assert task.get(block=False).work_id == straggler.id
