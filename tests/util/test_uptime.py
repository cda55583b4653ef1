"""Tests of the ranking by uptime as instances start and restart."""

from guavagate.models import InstanceId
from guavagate.util.uptime import rank_by_uptime

_BOOTS = {InstanceId(name): 1_000_000 for name in 'abc'}


def test_instances_that_start_together_share_duties_by_weight() -> None:
    """All started at once, so different duties go to different instances."""
    first = {rank_by_uptime(f'k{n}', _BOOTS, _BOOTS.get)[0] for n in range(50)}
    assert first == set(_BOOTS)


def test_a_restarted_instance_does_not_take_its_duty_back() -> None:
    """Its standby has begun to work; a second takeover would discard that."""
    owner, standby, _ = rank_by_uptime('k', _BOOTS, _BOOTS.get)
    boots = {**_BOOTS, owner: 1_020_000}
    assert rank_by_uptime('k', boots, boots.get)[0] == standby


def test_an_added_instance_takes_no_duty() -> None:
    """A new instance must not take over from instances that work well."""
    boots = {**_BOOTS, InstanceId('new'): 1_030_000}
    for number in range(50):
        assert rank_by_uptime(f'k{number}', boots, boots.get)[0] != 'new'
