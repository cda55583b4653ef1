"""Rewards of whole texts, while owners, upstreams and routes fail."""

import msgspec
import pytest

from guavagate.jobs import JobId, Result, ResultState
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._rewards import order_pending_rewards
from guavagate.jobs._work import JobWork
from guavagate.measure.fakes import World
from tests.jobs.fleet import JobFleet, Node, find_other, make_job
from tests.jobs.rewards import FakeRewardClient

_LATER = 20


@pytest.fixture
def fleet() -> JobFleet:
    """Three instances before three samplers and a scoring service."""
    return JobFleet()


def _owner(fleet: JobFleet) -> Node:
    return fleet.nodes[fleet.owner()]


def _check_rated(fleet: JobFleet, items: int) -> list[Result]:
    """Check that each item is listed once, with its own signature."""
    _, results = fleet.read('job-1', find_other(fleet))
    assert len({each.id for each in results}) == len(results) == items
    for result in results:
        if result.state is ResultState.COMPLETED:
            assert result.signature == f'signature of reward-{result.id}'
    return results


def test_a_result_is_listed_with_the_signature_of_its_reward(
    fleet: JobFleet,
) -> None:
    """Each text is made, then rated once, then listed with its signature."""
    fleet.submit(make_job(rated=True), 'a')
    fleet.clock.advance(_LATER)
    results = _check_rated(fleet, 6)
    assert all(each.signature for each in results)
    assert len(_owner(fleet).rewards.sent) == 6


def test_no_reward_is_asked_for_before_a_text_is_whole(
    fleet: JobFleet,
) -> None:
    """A sampler dies in the middle of the texts; they go on elsewhere.

    A signature that is older than the last event of its text rates another text
    than the one that is delivered.
    """
    owner = _owner(fleet)
    fleet.length = 40
    owner.samplers.length = 40
    fleet.submit(make_job(rated=True), 'a')
    fleet.clock.advance(1)
    owner.samplers.down.add('x')
    made: dict[str, int] = {}
    send = owner.rewards.send

    def note(reward: object) -> object:
        item = reward.id.removeprefix('reward-')  # type: ignore[attr-defined]
        made[item] = owner.samplers.generated[item]
        return send(reward)  # type: ignore[arg-type]

    owner.rewards.send = note  # type: ignore[method-assign, assignment]
    fleet.clock.advance(_LATER)
    _check_rated(fleet, 6)
    assert len(made) == 6
    assert min(made.values()) >= 40


def test_a_lost_answer_gives_no_signature(fleet: JobFleet) -> None:
    """Answers are lost, cut or crossed; the request is sent again."""
    rewards = _owner(fleet).rewards
    rewards.lost.update({'reward-0-0': 2, 'reward-1-1': 1})
    fleet.submit(make_job(rated=True), 'a')
    fleet.clock.advance(_LATER)
    results = _check_rated(fleet, 6)
    assert {each.state for each in results} == {ResultState.COMPLETED}
    assert len(rewards.sent) == 9


def test_a_reward_that_always_fails_ends_its_item_alone(
    fleet: JobFleet,
) -> None:
    """One request is answered 500 each time, as often as its route allows.

    Given up sooner, a text that was paid for is lost; never given up, its
    group is never whole.
    """
    rewards = _owner(fleet).rewards
    rewards.most_failures = 4
    rewards.failures['reward-0-0'] = 99
    fleet.submit(make_job(rated=True), 'a')
    fleet.clock.advance(_LATER)
    results = _check_rated(fleet, 6)
    errored = [each.id for each in results if not each.signature]
    assert errored == ['0-0']
    asked = [name for _, name in rewards.sent]
    assert asked.count('reward-0-0') == 4


def test_a_whole_text_survives_its_owner(fleet: JobFleet) -> None:
    """The owner is killed while the scoring service is dark.

    All texts are whole. The next owner has been told so and asks only for
    their rewards; no sampler makes an event again.
    """
    for node in fleet.nodes.values():
        node.rewards.seconds = 60
    first = fleet.owner()
    fleet.submit(make_job(rated=True), find_other(fleet))
    fleet.clock.advance(3)
    fleet.world.kill(first)
    fleet.nodes.pop(first)
    for node in fleet.nodes.values():
        node.rewards.seconds = 0.2
    fleet.clock.advance(_LATER)
    _check_rated(fleet, 6)
    assert not _owner(fleet).samplers.started


def test_an_ended_job_asks_for_no_more_rewards(fleet: JobFleet) -> None:
    """The trainer ends its job while rewards are on their way and wait.

    Those in progress are cut, as items are; none starts.
    """
    owner = _owner(fleet)
    owner.rewards.capacity = 2
    owner.rewards.seconds = 5
    fleet.submit(make_job(rated=True), 'a')
    fleet.clock.advance(3)
    owner.clock.spawn(owner.job_store.end, JobId('job-1'), 2.5)
    fleet.clock.advance(1)
    sent = len(owner.rewards.sent)
    assert len(owner.rewards.cancelled) == 2
    fleet.clock.advance(_LATER)
    assert len(owner.rewards.sent) == sent


def test_texts_wait_for_a_route_that_was_dropped(fleet: JobFleet) -> None:
    """A configuration drops the route of the rewards, and a later one has it.

    Nothing is lost, and what can be done is: all texts are made meanwhile.
    """
    owner = _owner(fleet)
    owner.rewards.has_route = False
    fleet.submit(make_job(rated=True), 'a')
    fleet.clock.advance(5)
    assert sum(owner.samplers.generated.values()) == 30
    assert not owner.rewards.sent
    owner.rewards.has_route = True
    fleet.clock.advance(2)
    _check_rated(fleet, 6)
    assert sum(owner.samplers.generated.values()) == 30


def test_a_signature_of_an_earlier_job_goes_with_its_text(
    fleet: JobFleet,
) -> None:
    """A group that was not whole comes again under the same reward requests.

    What was rated is neither made nor rated again; a text that was whole but
    not rated is only rated. Another reward request rates the text anew.
    """
    owner = _owner(fleet)
    owner.rewards.capacity = 1
    owner.rewards.seconds = 1
    fleet.submit(make_job('job-0', groups=1, size=3, rated=True), 'a')
    fleet.clock.run_until(lambda: len(fleet.read('job-0', 'a')[1]) == 1, 10)
    owner.clock.spawn(owner.job_store.end, JobId('job-0'), 2.5)
    fleet.clock.advance(0.2)
    owner.rewards.sent.clear()
    again = make_job(groups=1, size=3, rated=True)
    reward = again.items[0].reward
    assert reward is not None
    other = msgspec.structs.replace(reward, id='reward-other')
    changed = msgspec.structs.replace(again.items[0], reward=other)
    again = msgspec.structs.replace(again, items=[changed, *again.items[1:]])
    fleet.submit(again, 'a')
    fleet.clock.advance(_LATER)
    _, results = fleet.read('job-1', 'a')
    assert sorted(each.signature for each in results) == [
        'signature of reward-0-1',
        'signature of reward-0-2',
        'signature of reward-other',
    ]
    assert sum(owner.samplers.generated.values()) == 15


def test_groups_of_which_only_rewards_are_missing_go_first() -> None:
    """Texts of three groups are whole when one place is free.

    The trainer goes on with whole groups: a reward for a group of which a text
    is still in the making makes none whole, and of the others the one with the
    fewest rewards to go is whole first.
    """
    world = World()
    world.add('a')
    job = make_job(groups=3, size=2, rated=True)
    log = ResultLog(world.store_of('a'), world.clock, job.id, 'a')
    work = JobWork(job, log, 0, 0)
    for name in ('0-0', '1-0', '1-1', '2-0', '2-1'):
        work.items[name].text.complete = True  # type: ignore[index]
    work.add_result(Result('2-1', ResultState.COMPLETED, '', []))  # type: ignore[arg-type]
    ordered = [each.item.id for _, each in order_pending_rewards([work], 0)]
    assert ordered == ['2-0', '1-0', '1-1', '0-0']


def test_an_outage_of_the_scoring_service_loses_no_text(
    fleet: JobFleet,
) -> None:
    """No upstream of that service answers for five seconds.

    Texts are made meanwhile and wait; soon after its return all are rated.
    """
    owner = _owner(fleet)
    rewards: FakeRewardClient = owner.rewards
    rewards.capacity = 0
    fleet.submit(make_job(groups=6, rated=True), 'a')
    fleet.clock.advance(5)
    assert sum(owner.samplers.generated.values()) == 60
    rewards.capacity = 6
    fleet.clock.advance(1.5)
    _check_rated(fleet, 12)
