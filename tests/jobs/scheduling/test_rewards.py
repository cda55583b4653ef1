"""Rewards of complete texts while owners, upstreams and routes fail."""

from operator import sub

import msgspec
import pytest

from guavagate.jobs import JobId, Result, ResultState
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.scheduling._rewards import (
    MAX_LOST_RETRY_SECONDS,
    _compute_backoff,
    order_pending_rewards,
)
from guavagate.measure.fakes import World
from tests.jobs.fleet import JobFleet, Node, find_other, make_job
from tests.jobs.rewards import FakeRewardClient

_COMPLETION_SECONDS = 20


@pytest.fixture
def fleet() -> JobFleet:
    """Return three instances with three samplers and a scoring service."""
    return JobFleet()


def _owner(fleet: JobFleet) -> Node:
    return fleet.nodes[fleet.owner()]


def _check_rated(fleet: JobFleet, items: int) -> list[Result]:
    """Check that each item has one result, with its own signature."""
    _, results = fleet.read('job-1', find_other(fleet))
    assert len({each.id for each in results}) == len(results) == items
    for result in results:
        if result.state is ResultState.COMPLETED:
            assert result.signature == f'signature of reward-{result.id}'
    return results


def test_a_result_has_the_signature_of_its_reward(
    fleet: JobFleet,
) -> None:
    """Each text is generated and rated once; its result has the signature."""
    fleet.submit(make_job(rated=True), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    results = _check_rated(fleet, 6)
    assert all(each.signature for each in results)
    assert len(_owner(fleet).rewards.sent) == 6


def test_no_reward_is_requested_before_a_text_is_complete(
    fleet: JobFleet,
) -> None:
    """A sampler dies in the middle of its texts; they resume elsewhere.

    A signature requested before the last event of a text would rate a different
    text than the one delivered.
    """
    owner = _owner(fleet)
    fleet.length = 40
    owner.samplers.length = 40
    fleet.submit(make_job(rated=True), 'a')
    fleet.clock.advance(1)
    owner.samplers.down.add('x')
    generated: dict[str, int] = {}
    send = owner.rewards.send

    def record_and_send(reward: object, regions: object) -> object:
        item = reward.id.removeprefix('reward-')  # type: ignore[attr-defined]
        generated[item] = owner.samplers.generated[item]
        return send(reward, regions)  # type: ignore[arg-type]

    owner.rewards.send = record_and_send  # type: ignore[method-assign, assignment]
    fleet.clock.advance(_COMPLETION_SECONDS)
    _check_rated(fleet, 6)
    assert len(generated) == 6
    assert min(generated.values()) >= 40


def test_a_lost_response_repeats_the_request(fleet: JobFleet) -> None:
    """Responses to two requests are lost; each request is repeated."""
    rewards = _owner(fleet).rewards
    rewards.lost.update({'reward-0-0': 2, 'reward-1-1': 1})
    fleet.submit(make_job(rated=True), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    results = _check_rated(fleet, 6)
    assert {each.state for each in results} == {ResultState.COMPLETED}
    assert len(rewards.sent) == 9


def test_a_reward_that_always_fails_ends_only_its_item(
    fleet: JobFleet,
) -> None:
    """One request gets status 500 as often as its route allows.

    Giving up sooner would waste a generated text; never giving up would leave
    its group incomplete forever.
    """
    rewards = _owner(fleet).rewards
    rewards.max_failures = 4
    rewards.failures['reward-0-0'] = 99
    fleet.submit(make_job(rated=True), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    results = _check_rated(fleet, 6)
    errored = [each.id for each in results if not each.signature]
    assert errored == ['0-0']
    requested = [name for _, name in rewards.sent]
    assert requested.count('reward-0-0') == 4


def test_a_complete_text_survives_its_owner(fleet: JobFleet) -> None:
    """The owner is killed while the scoring service does not respond.

    All texts are complete. The next owner has replicas of them and requests
    only their rewards; no sampler generates an event again.
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
    fleet.clock.advance(_COMPLETION_SECONDS)
    _check_rated(fleet, 6)
    assert not _owner(fleet).samplers.started


def test_an_ended_job_requests_no_more_rewards(fleet: JobFleet) -> None:
    """The trainer ends its job while rewards are in flight and waiting.

    Those in flight are cancelled, like running items, and no other starts.
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
    fleet.clock.advance(_COMPLETION_SECONDS)
    assert len(owner.rewards.sent) == sent


def test_texts_wait_for_a_removed_route(fleet: JobFleet) -> None:
    """A configuration removes the route of the rewards; a later one adds it.

    All texts are generated meanwhile, and none is lost.
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


def test_a_resubmitted_item_keeps_its_signature(
    fleet: JobFleet,
) -> None:
    """An incomplete group is resubmitted with the same reward requests.

    A rated item is neither generated nor rated again, and a complete text
    without a reward is only rated. A changed reward request is sent again.
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
    fleet.clock.advance(_COMPLETION_SECONDS)
    _, results = fleet.read('job-1', 'a')
    assert sorted(each.signature for each in results) == [
        'signature of reward-0-1',
        'signature of reward-0-2',
        'signature of reward-other',
    ]
    assert sum(owner.samplers.generated.values()) == 15


def test_groups_that_lack_only_rewards_go_first() -> None:
    """Texts of three groups are complete when capacity for one is free.

    The trainer continues with complete groups. A reward for a group with an
    unfinished text completes no group, and of the others the group with the
    fewest missing rewards completes first.
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


def test_a_scoring_service_outage_loses_no_text(
    fleet: JobFleet,
) -> None:
    """No upstream of the scoring service has capacity for five seconds.

    Texts are generated meanwhile and wait; all are rated soon afterwards.
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


def test_a_reward_whose_answers_are_always_lost_is_requested_again(
    fleet: JobFleet,
) -> None:
    """Upstreams end under it, and its item was held back for good.

    Its requests are spaced, so that callers have the upstreams in between, and
    it is given soon after the upstreams are sound.
    """
    rewards = _owner(fleet).rewards
    rewards.lost['reward-0-0'] = 99
    fleet.submit(make_job(rated=True), 'a')
    fleet.clock.advance(_COMPLETION_SECONDS)
    assert len(_check_rated(fleet, 5)) == 5
    sent = [at for at, name in rewards.sent if name == 'reward-0-0']
    # After the fourth loss the pauses are 0.8, 1.6, 3.2 and then 5 s.
    assert 4 < len(sent) <= 10
    assert max(map(sub, sent[1:], sent)) <= MAX_LOST_RETRY_SECONDS + 0.5
    rewards.lost.clear()
    fleet.clock.advance(MAX_LOST_RETRY_SECONDS + 1)
    results = _check_rated(fleet, 6)
    assert {each.state for each in results} == {ResultState.COMPLETED}


def test_a_reward_that_was_lost_thousands_of_times_is_requested_again() -> None:
    """Doubling its pause each time overflowed, and ended its task."""
    progress = ItemProgress(item=make_job().items[0], reward_attempts=5_000)
    assert _compute_backoff(progress) <= MAX_LOST_RETRY_SECONDS
    progress.reward_losses = 5_000
    assert _compute_backoff(progress) == MAX_LOST_RETRY_SECONDS
