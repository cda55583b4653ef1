"""Homes and permits while instances die, stall or lose messages."""

import pytest

from guavagate.clock import Task
from guavagate.decisions import Work
from guavagate.exceptions import RefusalError
from guavagate.measure.fakes import FakeTeams, NoDecisions, World
from guavagate.models import (
    CallerId,
    InstanceId,
    RequestId,
    SamplerId,
    TeamId,
)
from guavagate.partitions import LocalPartitions
from guavagate.permits import (
    Permit,
    PermitClient,
    QueueOwner,
    Release,
    ReleasePermit,
    find_queue_owner,
    serve_queue_owner,
)
from guavagate.runtime import Runtime
from guavagate.settings import parse_team_settings

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
    """Three instances before one upstream with two slots."""

    def __init__(self) -> None:
        self.world = World(1)
        self.clock = self.world.clock
        self.clients: dict[str, PermitClient] = {}
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
            teams=FakeTeams([_TEAM]),
            partitions=LocalPartitions({}),
            decisions=NoDecisions(),
        )
        self.queue_owners[name] = QueueOwner(runtime)
        serve_queue_owner(runtime, self.queue_owners[name])
        self.clients[name] = PermitClient(runtime, self.queue_owners[name])
        self.queue_owners[name].start()
        self.clients[name].start()

    def owner(self) -> str:
        """Return the pool's home."""
        alive = self.world.members[InstanceId('a')].alive()
        return str(find_queue_owner(_POOL, alive))

    def others(self) -> list[str]:
        """Return the instances that are not the home."""
        return [name for name in 'abc' if name != self.owner()]

    def ask(self, name: str, request: str, seconds: float = 60) -> Task:
        """Ask for a permit in a task of its instance."""
        work = Work(
            id=RequestId(request),
            team=TeamId('trust'),
            caller=CallerId('desk'),
            deadline=self.clock.now() + seconds,
            expected_tokens=1,
        )
        clock = self.world.hosts[InstanceId(name)].clock
        return clock.spawn(self.clients[name].acquire, _POOL, work)

    def get(self, name: str, request: str) -> Permit:
        """Ask for a permit and wait for it."""
        task = self.ask(name, request)
        assert self.clock.run_until(task.ready, 30)
        permit: Permit = task.get(block=False)
        return permit

    def running(self, name: str) -> int:
        """Return how much the home on an instance counts as running."""
        return sum(
            one.pool.running for one in self.queue_owners[name].list_owned()
        )


def test_no_more_run_than_the_upstream_has_slots() -> None:
    """Three entries ask at once; the third waits until a slot is free."""
    entries = Entries()
    first = entries.get('a', 'r1')
    entries.get('b', 'r2')
    third = entries.ask('c', 'r3')
    entries.clock.advance(5)
    assert not third.ready()
    entries.clients['a'].release(first, Release.DONE, tokens=1, seconds=1)
    assert entries.clock.run_until(third.ready, 1)


def test_a_home_that_dies_loses_nothing_and_overfills_nothing() -> None:
    """Two permits are held and one request waits when the home is killed.

    The waiting entry asks the next home under the same id. That home has
    heard from both entries what runs, before it grants: the request gets its
    permit only when one of the two has ended.
    """
    entries = Entries()
    owner, (one, two) = entries.owner(), entries.others()
    held = entries.get(one, 'r1')
    entries.get(two, 'r2')
    waiting = entries.ask(one, 'r3')
    entries.clock.advance(1)
    entries.world.kill(owner)
    entries.clock.advance(8)
    successor = str(
        find_queue_owner(_POOL, entries.world.members[InstanceId(one)].alive())
    )
    assert entries.running(successor) == 2
    assert not waiting.ready()
    entries.clients[one].release(held, Release.DONE, tokens=1, seconds=1)
    assert entries.clock.run_until(waiting.ready, 5)
    assert waiting.get(block=False).work_id == 'r3'


def test_a_new_home_waits_to_hear_what_runs() -> None:
    """The new home learns of the death before the entry that holds permits.

    Its own caller asks at once. Granting then would give the upstream a third
    piece of work; it waits half a second, hears of two, and queues the third.
    """
    entries = Entries()
    owner, names = entries.owner(), entries.others()
    peers = entries.world.peers
    rest = [peers[InstanceId(name)] for name in names]
    successor = str(find_queue_owner(_POOL, rest))
    holder = next(name for name in names if name != successor)
    entries.get(holder, 'r1')
    entries.get(holder, 'r2')
    entries.world.hosts[InstanceId(owner)].kill()
    gone = peers[InstanceId(owner)]
    members = entries.world.members
    members[InstanceId(successor)].update(gone, alive=False)
    waiting = entries.ask(successor, 'r3')
    entries.clock.advance(0.3)
    members[InstanceId(holder)].update(gone, alive=False)
    entries.clock.advance(3)
    assert not waiting.ready()
    assert entries.running(successor) == 2


def test_an_entry_that_dies_gives_its_slots_back() -> None:
    """Its callers are gone with it; others need not wait for its work."""
    entries = Entries()
    one, two = entries.others()
    entries.get(one, 'r1')
    entries.get(one, 'r2')
    waiting = entries.ask(two, 'r3')
    entries.clock.advance(1)
    entries.world.kill(one)
    assert entries.clock.run_until(waiting.ready, 5)


def test_a_lost_release_is_found_by_asking() -> None:
    """The message that ends a permit is lost; its slot comes back.

    The entry no longer holds the permit, and nobody else will ever end it.
    The home asks about permits that are old and frees what is not held.
    """
    entries = Entries()
    owner, (one, _) = entries.owner(), entries.others()
    permit = entries.get(one, 'r1')
    entries.get(one, 'r2')
    entries.clients[one].drop(permit)
    entries.clock.advance(10)
    assert entries.running(owner) == 2
    entries.clock.advance(15)
    assert entries.running(owner) == 1


def test_a_request_that_can_not_be_in_time_is_refused_in_time() -> None:
    """Both slots stay taken; the third is told not_run before its deadline."""
    entries = Entries()
    entries.get('a', 'r1')
    entries.get('b', 'r2')
    asked = entries.clock.now()
    task = entries.ask('c', 'r3', seconds=3)
    assert entries.clock.run_until(task.ready, 10)
    with pytest.raises(RefusalError) as caught:
        task.get(block=False)
    assert caught.value.not_run.value == 'true'
    assert entries.clock.now() - asked <= 3.5


def test_an_upstream_that_leaves_gets_nothing_more() -> None:
    """Its refusal is heard by the home at once; other work is refused."""
    entries = Entries()
    owner, (one, two) = entries.owner(), entries.others()
    permit = entries.get(one, 'r1')
    entries.clients[one].release(permit, Release.LEAVING)
    entries.clock.advance(1)
    task = entries.ask(two, 'r2', seconds=4)
    entries.clock.run_until(task.ready, 10)
    assert isinstance(task.exception, RefusalError)
    assert not entries.running(owner)


def test_a_report_from_before_the_refusal_brings_no_work_back() -> None:
    """The upstream refuses as leaving; then its lagging report comes.

    That report was made earlier and says that it serves. Work goes there
    again only when it has said so for longer than reports lag.
    """
    entries = Entries()
    owner = entries.owner()
    permit = entries.get(entries.others()[0], 'r1')
    entries.clients[entries.others()[0]].release(permit, Release.LEAVING)
    entries.clock.advance(1)
    queue_owner = entries.queue_owners[owner]
    owned = queue_owner.list_owned()[0]
    queue_owner.mark_serving(owned, SamplerId('desk'))
    assert not owned.pool.slots
    entries.clock.advance(10)
    queue_owner.mark_serving(owned, SamplerId('desk'))
    assert owned.pool.slots == 2


def test_a_repeated_ask_is_one_piece_of_work() -> None:
    """The permit's reply was lost: the same work gets the same permit."""
    entries = Entries()
    one = entries.others()[0]
    permit = entries.get(one, 'r1')
    assert entries.get(one, 'r1') == permit
    owner = entries.owner()
    assert entries.running(owner) == 1
    late = ReleasePermit(
        pool=_POOL,
        work_id=RequestId('other'),
        upstream=permit.upstream,
        ended=Release.DONE,
    )
    entries.queue_owners[owner].release(InstanceId(one), late)
    assert entries.running(owner) == 1
