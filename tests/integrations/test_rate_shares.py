"""Shares of the rate of calls to the store."""

import pytest

from guavagate.integrations.object_api._rate_shares import count_sharers
from guavagate.models import InstanceId, RegionId, ZoneId
from guavagate.settings import PeerSettings

_FLEET_RATE = 1200.0


def _make_members(entries: int, workers: int) -> list[PeerSettings]:
    return [
        PeerSettings(
            id=InstanceId(f'i-{number}'),
            availability_zone=ZoneId('zone'),
            region=RegionId('region'),
            peer_address=f'10.0.0.{number}:7300',
            http_address='10.0.0.1:80' if number < entries else '',
        )
        for number in range(entries + workers)
    ]


def test_a_worker_has_room_for_the_results_of_all_trainers() -> None:
    """With equal shares a burst of results waits for the rate limit."""
    members = _make_members(entries=70, workers=8)
    assert _FLEET_RATE / count_sharers(members, has_edge=False) > 50
    assert _FLEET_RATE / count_sharers(members, has_edge=True) > 8


@pytest.mark.parametrize(
    ('entries', 'workers'), [(1, 0), (0, 3), (7, 3), (70, 8)]
)
def test_all_shares_together_are_the_rate(entries: int, workers: int) -> None:
    """More calls than the platform grants would be refused."""
    members = _make_members(entries, workers)
    used = sum(
        1 / count_sharers(members, has_edge=bool(each.http_address))
        for each in members
    )
    assert used == pytest.approx(1)
