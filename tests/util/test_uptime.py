"""Who takes a duty, as instances start, die and start again."""

from guavagate.models import InstanceId
from guavagate.util.uptime import rank_by_uptime

_BOOTS = {InstanceId(name): 1_000_000 for name in 'abc'}


def test_instances_of_one_start_share_duties_by_weight() -> None:
    """All are equally old; different duties fall to different ones."""
    first = {rank_by_uptime(f'k{n}', _BOOTS, _BOOTS.get)[0] for n in range(50)}
    assert first == set(_BOOTS)


def test_one_that_restarts_does_not_take_its_duty_back() -> None:
    """Its stand-in has begun to work; taking over again would lose that."""
    holder, stand_in, _ = rank_by_uptime('k', _BOOTS, _BOOTS.get)
    boots = {**_BOOTS, holder: 1_020_000}
    assert rank_by_uptime('k', boots, boots.get)[0] == stand_in


def test_one_that_is_added_takes_no_duty() -> None:
    """The others work well."""
    boots = {**_BOOTS, InstanceId('new'): 1_030_000}
    for number in range(50):
        assert rank_by_uptime(f'k{number}', boots, boots.get)[0] != 'new'
