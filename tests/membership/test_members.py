"""Tests of the membership over real sockets on loopback."""

import socket
from collections.abc import Callable, Iterator

import gevent
import pytest
from msgspec import structs

from guavagate.clock import SystemClock
from guavagate.exceptions import SettingsError
from guavagate.membership import Membership, MemberState
from guavagate.membership._detector import NEW_PROCESS_SECONDS
from guavagate.models import InstanceId, RegionId, ZoneId
from guavagate.settings import (
    InstanceSettings,
    PeerSettings,
    PlatformSettings,
)

Start = Callable[..., Membership]


def make_settings(name: str, seeds: list[Membership]) -> InstanceSettings:
    """Return an instance's settings on a free port."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    peers: list[PeerSettings] = [seed.alive()[0] for seed in seeds]
    return InstanceSettings(
        id=InstanceId(name),
        availability_zone=ZoneId('jhb-east'),
        region=RegionId('gauteng'),
        http_address='127.0.0.1:1',
        peer_address=f'127.0.0.1:{port}',
        platform=PlatformSettings(object_api='http://127.0.0.1:1'),
        peers=tuple(peers),
    )


@pytest.fixture(name='start')
def start_members() -> Iterator[Start]:
    """Start memberships and stop them at the end."""
    started = []

    def start(
        name: str, seeds: list[Membership], credential: bytes = b'shared'
    ) -> Membership:
        settings = make_settings(name, seeds)
        members = Membership(settings, SystemClock(), credential)
        members.start()
        started.append(members)
        return members

    yield start
    for members in started:
        members.stop()


def wait_for(done: Callable[[], bool]) -> None:
    """Wait until done; a hang fails the test."""
    with gevent.Timeout(10):
        while not done():
            gevent.sleep(0.02)


def names(members: Membership) -> list[str]:
    """Return the ids of usable instances."""
    return [peer.id for peer in members.alive()]


def test_instances_find_each_other_and_leave(start: Start) -> None:
    """Three join through one seed, exchange facts, and one leaves."""
    first = start('a', [])
    second = start('b', [first])
    third = start('c', [first])
    changes: list[int] = []
    third.subscribe(lambda: changes.append(1))
    wait_for(lambda: names(third) == names(second) == ['a', 'b', 'c'])
    assert changes
    first.set_fact('revisions', b'7')
    wait_for(lambda: third.facts(InstanceId('a')) == {'revisions': b'7'})
    assert third.address(InstanceId('b')) == second.address(InstanceId('b'))
    second.start_leaving()
    wait_for(lambda: names(third) == ['a', 'c'])
    assert third.get(InstanceId('b')) is not None
    second.stop()
    wait_for(lambda: third.state(InstanceId('b')) is MemberState.DEAD)
    assert third.get(InstanceId('b')) is None


def test_an_instance_without_the_credential_does_not_join(
    start: Start,
) -> None:
    """Datagrams without the cluster credential change nothing."""
    first = start('a', [])
    start('x', [first], b'other')
    second = start('b', [first])
    wait_for(lambda: names(second) == ['a', 'b'])
    assert names(first) == ['a', 'b']


def test_facts_are_bounded(start: Start) -> None:
    """Facts that don't fit into a probe are rejected with a remedy."""
    first = start('a', [])
    with pytest.raises(SettingsError, match='send a digest'):
        first.set_fact('all', bytes(600))


def test_a_superseded_process_is_not_among_the_working_ones(
    start: Start,
) -> None:
    """It would own jobs in its own eyes, beside the true owner.

    Another process has its id at another address, as after a replacement. This
    one has run for long, so it is the earlier one.
    """
    first = start('a', [])
    second = start('b', [first])
    wait_for(lambda: names(first) == names(second) == ['a', 'b'])
    changes: list[int] = []
    second.subscribe(lambda: changes.append(1))
    claim = second._detector.identity.describe()
    assert claim.contact is not None
    contact = structs.replace(claim.contact, peer_address='127.0.0.2:1')
    later = structs.replace(
        claim, incarnation=claim.incarnation + 9, contact=contact
    )
    now = SystemClock().now() + NEW_PROCESS_SECONDS
    second._detector.apply_claims((later,), now)
    second._refresh()
    assert second.superseded()
    assert names(second) == ['a']
    assert changes
