"""Texts that resume after a failed sampler, an ended job or a lost owner."""

import re

import pytest

from guavagate.jobs import ItemId, JobId
from guavagate.jobs._work import JobWork, Text
from guavagate.jobs.texts._replicas import (
    TextCopy,
    TextPart,
    TextReplicas,
    compute_message_limit,
)
from guavagate.models import InstanceId, WeightVersion
from guavagate.ports.sampler import TextEvent
from tests.jobs.fleet import (
    JobFleet,
    Node,
    check_complete,
    find_other,
    make_job,
)
from tests.jobs.samplers import SERVICE

_COMPLETION_SECONDS = 20


@pytest.fixture
def fleet() -> JobFleet:
    """Return three instances with three samplers."""
    return JobFleet()


def test_item_resumes_after_its_last_complete_event(fleet: JobFleet) -> None:
    """A sampler fails while its items run; no event is generated twice."""
    owner = fleet.nodes[fleet.owner()]
    owner.samplers.length = 40
    fleet.length = 40
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(1)
    owner.samplers.down.add('x')
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, 'a', 6)
    assert any(after for _, _, after in owner.samplers.started)
    assert max(owner.samplers.generated.values()) <= 41


def test_a_text_whose_stream_contradicts_itself_starts_over(
    fleet: JobFleet,
) -> None:
    """One of its events may be foreign, and would stay in the result."""
    owner = fleet.nodes[fleet.owner()]
    owner.samplers.contradicted = {(name, 4) for name in 'xyz'}
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, 'a', 6)
    assert not owner.samplers.contradicted
    assert not any(after for _, _, after in owner.samplers.started)
    assert len(owner.samplers.started) == 9


def test_a_text_without_end_starts_over_elsewhere(fleet: JobFleet) -> None:
    """It filled the memory of the owner, and no store would have taken it.

    The sampler sends well-formed events without end. The item must not resume
    after them: its text would be too long to be stored wherever it ends.
    """
    owner = fleet.nodes[fleet.owner()]
    owner.samplers.endless = {'x'}
    fleet.submit(make_job(), 'a')
    longest = 0
    for _ in range(40):
        fleet.clock.advance(0.5)
        longest = max(longest, _measure_longest_text(owner))
    check_complete(fleet, 'a', 6)
    assert 0 < longest <= owner.job_store.max_text_bytes


def _measure_longest_text(owner: Node) -> int:
    works = owner.owner._active_jobs.list_open()
    texts = [each.text for work in works for each in work.items.values()]
    return max((len(text.join()) for text in texts), default=0)


def test_resubmitted_items_resume_their_partial_texts(fleet: JobFleet) -> None:
    """The next job resubmits a group that was incomplete.

    Its items resume after the last event of the earlier job. If restarted, the
    longest item would be the last one again.
    """
    owner = fleet.nodes[fleet.owner()]
    owner.samplers.length = 40
    fleet.length = 40
    fleet.submit(make_job('job-0'), 'a')
    fleet.clock.advance(1)
    owner.clock.spawn(owner.job_store.end, JobId('job-0'), 2.5)
    fleet.clock.advance(0.2)
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, 'a', 6)
    assert max(owner.samplers.generated.values()) <= 41


def test_result_of_an_earlier_job_adds_no_item_time() -> None:
    """Four of a group's six items were done when their job was ended.

    In the next job they are done without having run. Measured from the start of
    the clock, each would add hours to the histogram of item times.
    """
    fleet = JobFleet(samplers='x', length=40)
    node = fleet.nodes[fleet.owner()]
    fleet.submit(make_job('job-0', groups=1, size=6), 'a')
    fleet.clock.run_until(lambda: len(fleet.read('job-0', 'a')[1]) >= 4, 10)
    node.clock.spawn(node.job_store.end, JobId('job-0'), 2.5)
    fleet.clock.advance(0.2)
    fleet.submit(make_job(groups=1, size=6), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, 'a', 6)
    exposition = node.metrics.render('')[0].decode()
    sums = re.findall(r'item_seconds_sum\S* (\S+)', exposition)
    assert sums
    assert sum(map(float, sums)) < _COMPLETION_SECONDS


def test_text_of_too_old_a_version_is_restarted(
    fleet: JobFleet,
) -> None:
    """The next job requires newer weights than those of the partial texts."""
    owner = fleet.nodes[fleet.owner()]
    owner.samplers.length = 40
    fleet.length = 40
    fleet.submit(make_job('job-0'), 'a')
    fleet.clock.advance(1)
    owner.clock.spawn(owner.job_store.end, JobId('job-0'), 2.5)
    fleet.clock.advance(0.2)
    for sampler in 'xyz':
        owner.samplers.versions[sampler] = 2  # type: ignore[assignment]
        owner.states.record_version(sampler, 'm0', 2)  # type: ignore[arg-type]
    fleet.submit(make_job(min_version=2), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, 'a', 6)
    _, results = fleet.read('job-1', 'a')
    assert {tuple(each.versions) for each in results} == {(2,)}


def test_next_owner_resumes_partial_texts(
    fleet: JobFleet,
) -> None:
    """The owner is killed when long texts are nearly complete but uncommitted.

    Restarted from the first event, they would be too late for their step. The
    next owner has replicas of them and requests the rest from samplers.
    """
    fleet.length = 60
    for node in fleet.nodes.values():
        node.samplers.length = 60
    first = fleet.owner()
    fleet.submit(make_job(groups=2), find_other(fleet))
    fleet.clock.advance(2.8)
    fleet.world.kill(first)
    fleet.nodes.pop(first)
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, find_other(fleet), 4)
    made = fleet.nodes[fleet.owner()].samplers.generated
    assert max(made.values()) <= 30


def test_restarted_text_is_not_joined_to_its_replica() -> None:
    """The owner drops a text that is too old, and restarts it.

    A peer that appends the new events to the old ones would give the next owner
    a text that no sampler generated.
    """
    fleet = JobFleet(names='abc', samplers='x', length=60)
    owner, survivor = fleet.owner(), find_other(fleet)
    fleet.submit(make_job(groups=1, size=1), survivor)
    fleet.clock.advance(1.3)
    node = fleet.nodes[owner]
    active = node.owner._active_jobs.get(JobId('job-1'))
    assert active is not None
    progress = active.work.items[ItemId('0-0')]
    old = list(progress.text.events)
    assert len(old) > 10
    progress.text = Text()
    for number in range(1, 40):
        progress.text.add(TextEvent(number, f'new/{number}', WeightVersion(1)))
    task = node.clock.spawn(
        node.replicas.send, SERVICE, [active.work], InstanceId(survivor)
    )
    fleet.clock.run_until(task.ready, 2)
    work = JobWork(active.work.job, active.work.log, 0, 0)
    fleet.nodes[survivor].replicas.restore(work)
    assert work.items[ItemId('0-0')].text.events == progress.text.events


def _send(
    fleet: JobFleet, sender: str, work: JobWork, replicas: TextReplicas
) -> None:
    """Send the replicas of a job's texts from one instance to instance b."""
    node = fleet.nodes[sender]
    task = node.clock.spawn(replicas.send, SERVICE, [work], InstanceId('b'))
    fleet.clock.run_until(task.ready, 2)


def _make_work(
    fleet: JobFleet, mark: str, events: int, version: int = 1
) -> JobWork:
    """Return a job of one item whose text has the given number of events."""
    job = make_job(groups=1, size=1)
    work = JobWork(job, fleet.nodes['b'].job_store.open_log(job.id), 0, 0)
    _grow(work, mark, events, version)
    return work


def _grow(work: JobWork, mark: str, events: int, version: int = 1) -> None:
    progress = work.items[ItemId('0-0')]
    for number in range(progress.text.last_number + 1, events + 1):
        added = TextEvent(number, f'{mark}/{number}', WeightVersion(version))
        progress.text.add(added)


def test_texts_of_two_owners_are_never_joined(fleet: JobFleet) -> None:
    """Two instances believe they own a service and send replicas to a third.

    Each has its own text of the same item, under its own versions. Events of
    one appended to the other would form a text that no sampler generated, with
    the wrong versions.
    """
    one, other = fleet.nodes['a'].replicas, fleet.nodes['c'].replicas
    first = _make_work(fleet, 'a', 10)
    second = _make_work(fleet, 'c', 14, version=2)
    _send(fleet, 'a', first, one)
    _send(fleet, 'c', second, other)
    _grow(first, 'a', 16)
    _send(fleet, 'a', first, one)
    work = _make_work(fleet, '', 0)
    fleet.nodes['b'].replicas.restore(work)
    text = work.items[ItemId('0-0')].text
    assert text.events == [f'a/{number}' for number in range(1, 17)]
    assert text.versions == [1]


def test_late_replica_message_is_ignored(fleet: JobFleet) -> None:
    """A message is delayed on the link while the text is restarted.

    It has events of the old text and arrives after those of the new one.
    """
    peer = fleet.nodes['b'].replicas
    sender = InstanceId('a')
    job, item = JobId('job-1'), ItemId('0-0')

    def receive(number: int, after: int, events: list[str]) -> None:
        part = TextPart(job, item, number, after, events, [WeightVersion(1)])
        peer._on_copy(
            sender,
            TextCopy(service=SERVICE, boot=7, jobs=[job], parts=[part]),
        )

    receive(1, 0, ['old/1', 'old/2'])
    receive(2, 0, ['new/1', 'new/2', 'new/3'])
    receive(1, 2, ['old/3', 'old/4'])
    receive(2, 1, ['new/2'])
    work = _make_work(fleet, '', 0)
    peer.restore(work)
    text = work.items[item].text
    assert text.events == ['new/1', 'new/2', 'new/3']


def test_replica_message_is_bounded_and_has_the_longest_texts_first(
    fleet: JobFleet,
) -> None:
    """The texts exceed the limit of one message; the next one has the rest."""
    node = fleet.nodes['a']
    job = make_job(groups=1, size=3)
    work = JobWork(job, node.job_store.open_log(job.id), 0, 0)
    for number, progress in enumerate(work.items.values(), 1):
        for event in range(1, number + 1):
            added = TextEvent(event, 'x' * 30_000, WeightVersion(1))
            progress.text.add(added)
    peer = fleet.nodes['b'].replicas
    for expected in (['0-2'], ['0-2', '0-1', '0-0']):
        task = node.clock.spawn(
            node.replicas.send, SERVICE, [work], InstanceId('b')
        )
        fleet.clock.run_until(task.ready, 2)
        replicas = next(iter(peer._received.values()))
        assert list(replicas[job.id]) == expected


def test_replicas_keep_up_with_a_burst_of_texts(fleet: JobFleet) -> None:
    """Three steps start at once, and the owner is lost after a second.

    270 texts grow by ten events of 400 characters between two messages. If a
    message has room for a few of them only, the next owner restarts the others
    from their first event.
    """
    node = fleet.nodes['a']
    job = make_job(groups=27, size=10)
    work = JobWork(job, node.job_store.open_log(job.id), 0, 0)
    limit = compute_message_limit(link_bytes_per_second=75_000_000)
    replicas = TextReplicas(fleet.world.bus('a'), limit)
    for first in (1, 11):
        for number in range(first, first + 10):
            event = TextEvent(number, 'x' * 400, WeightVersion(1))
            for progress in work.items.values():
                progress.text.add(event)
        _send(fleet, 'a', work, replicas)
    taken_over = JobWork(job, node.job_store.open_log(job.id), 0, 0)
    fleet.nodes['b'].replicas.restore(taken_over)
    restored = {each.text.last_number for each in taken_over.items.values()}
    assert restored == {20}


def test_replica_of_too_old_a_version_is_not_restored(fleet: JobFleet) -> None:
    """A peer stores a text of version 1; the job requires version 2."""
    node = fleet.nodes['a']
    job = make_job(groups=1, size=1, min_version=2)
    work = JobWork(job, node.job_store.open_log(job.id), 0, 0)
    progress = work.items[ItemId('0-0')]
    progress.text.add(TextEvent(1, '0-0/1', WeightVersion(1)))
    task = node.clock.spawn(
        node.replicas.send, SERVICE, [work], InstanceId('b')
    )
    fleet.clock.run_until(task.ready, 2)
    other = JobWork(job, node.job_store.open_log(job.id), 0, 0)
    fleet.nodes['b'].replicas.restore(other)
    assert not other.items[ItemId('0-0')].text.events


def test_stream_that_skips_an_event_resumes_at_the_gap(
    fleet: JobFleet,
) -> None:
    """A sampler's third event never arrives, but its fourth does.

    Joined in order of arrival, the text would lack an event and look complete.
    """
    owner = fleet.nodes[fleet.owner()]
    owner.samplers.skipped = {(name, 3) for name in 'xyz'}
    fleet.submit(make_job(), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    check_complete(fleet, 'a', 6)


def test_silent_successor_does_not_delay_the_replicas_of_another() -> None:
    """The first successor is frozen; the second one gets replicas in time.

    Each request to the frozen one takes until its time limit.
    """
    fleet = JobFleet(length=60)
    for node in fleet.nodes.values():
        node.samplers.length = 60
    first, successor, second = fleet.nodes['a'].ownership.list_in_turn(SERVICE)
    fleet.submit(make_job(groups=1), first)
    fleet.world.pause(successor)
    fleet.clock.advance(1.55)
    work = fleet.nodes[first].owner._active_jobs.list_open()[0]
    events = work.items[ItemId('0-0')].text.last_number
    replicas = fleet.nodes[second].replicas
    received = next(iter(replicas._received.values()))[work.job.id]
    assert events - received[ItemId('0-0')].text.last_number <= 6
