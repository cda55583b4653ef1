"""Load on a saturated service, judged by what callers receive."""

import pytest

from tests.admission.fleet import OBJECTIVE, SLOTS, WORK_SECONDS, Fleet

# Two upstreams of four slots.
_CAPACITY = 2 * SLOTS / WORK_SECONDS


def test_without_saturation_no_message_is_sent_and_nothing_waits() -> None:
    """A sixth of the capacity is used, by requests at random times."""
    fleet = Fleet()
    fleet.offer({'a': _CAPACITY / 12, 'b': _CAPACITY / 12}, 2)
    fleet.clock.advance(3)
    assert fleet.count_messages() == 0
    assert fleet.get_share_served('a') == 1
    slowest = max(each.seconds for each in fleet.replies['a'])
    assert slowest == pytest.approx(WORK_SECONDS, abs=0.001)


def test_a_burst_is_served_though_it_exceeds_the_slots() -> None:
    """Forty requests arrive at once, five times the slots.

    Without an owner all but the first are refused, though the last could be
    answered after a fifth of the time that the callers allow.
    """
    fleet = Fleet()
    fleet.offer({'a': 20 / 0.01, 'b': 20 / 0.01}, 0.01)
    fleet.clock.advance(2)
    assert fleet.get_share_served('a') == 1
    assert fleet.get_share_served('b') == 1
    assert max(each.seconds for each in fleet.replies['a']) < 0.4


def test_a_team_with_twenty_times_its_share_delays_only_itself() -> None:
    """Nine teams send a tenth of the capacity, one sends twice all of it.

    Without fair shares the large team gets two thirds of the slots, and every
    third request of the others is refused.
    """
    fleet = Fleet()
    small = [f'small-{number}' for number in range(9)]
    rates = dict.fromkeys(small, _CAPACITY / 12)
    fleet.offer({**rates, 'large': 2 * _CAPACITY}, 2)
    fleet.clock.advance(4)
    shares = [fleet.get_share_served(team) for team in small]
    assert min(shares) > 0.95
    # The large team gets what is left, about a quarter of the capacity.
    left = 2 * _CAPACITY * (1 - 9 / 12)
    assert len(fleet.list_served('large')) > 0.7 * left
    waits = [each.seconds for each in fleet.list_served(*small)]
    assert sorted(waits)[int(len(waits) * 0.9)] < 0.3


def test_priorities_under_twice_the_capacity() -> None:
    """A team's own priority goes before that of its route.

    Team `first` has priority 0 and sends on a route of priority 2, at most of
    the capacity; `second` has no priority, and the same route.
    """
    fleet = Fleet(priorities={'first': 0})
    rates = {'first': 0.8 * _CAPACITY, 'second': 1.2 * _CAPACITY}
    fleet.offer(rates, 2, priority=2)
    fleet.clock.advance(4)
    assert fleet.get_share_served('first') > 0.95
    assert 0.05 < fleet.get_share_served('second') < 0.4
    refused = [x for x in fleet.replies['second'] if x.status == 503]
    assert all(each.retry_after > 0 for each in refused)


def test_what_can_not_be_served_is_refused_early_and_runs_nowhere() -> None:
    """Twice the capacity for two seconds, from two equal teams."""
    fleet = Fleet()
    fleet.offer({'a': _CAPACITY, 'b': _CAPACITY}, 2)
    fleet.clock.advance(4)
    replies = fleet.replies['a'] + fleet.replies['b']
    served = fleet.list_served()
    refused = [each for each in replies if each.status == 503]
    assert len(served) + len(refused) == len(replies)
    assert len(served) > 0.9 * 2 * _CAPACITY
    # All refused requests have run nowhere, and none ran twice.
    assert fleet.ran.total() == len(served)
    assert set(fleet.ran.values()) == {1}
    at_once = [each for each in refused if each.seconds < 0.05]
    assert len(at_once) > 0.8 * len(refused)
    # The owner names the upstream, so few requests meet a full one.
    assert fleet.refused < 0.3 * len(served)


def test_answers_are_in_time_under_lasting_overload() -> None:
    """Once the first burst is over, no queue stands that delays all answers."""
    fleet = Fleet()
    fleet.offer({'a': _CAPACITY, 'b': _CAPACITY}, 4)
    fleet.clock.advance(2)
    fleet.replies.clear()
    fleet.clock.advance(4)
    waits = [each.seconds for each in fleet.list_served()]
    assert len(waits) > 0.9 * 2 * _CAPACITY
    assert sorted(waits)[int(len(waits) * 0.9)] < OBJECTIVE
