"""Tests of the counters of messages by kind, direction and distance."""

import time
from collections.abc import Iterator

import pytest

from guavagate.clock import SystemClock
from guavagate.exceptions import LinkRefusedError
from guavagate.links import (
    Message,
    MessageTraffic,
    ZmqBus,
    _message_traffic,
    watch_messages,
)
from guavagate.metrics import Metrics
from guavagate.models import InstanceId, RegionId, ZoneId
from guavagate.settings import PeerSettings
from guavagate.util.distance import Distance
from tests.links.test_zmq_bus import A, Ask, B, Told, echo, free_address


class _Members:
    """Members by id; tests change `zones`."""

    def __init__(self) -> None:
        self.zones = {A: ('north', 'x'), B: ('north', 'y')}

    def get(self, instance: InstanceId) -> PeerSettings | None:
        if instance not in self.zones:
            return None
        region, zone = self.zones[instance]
        return PeerSettings(
            id=instance,
            availability_zone=ZoneId(zone),
            region=RegionId(region),
            peer_address='127.0.0.1:1',
            http_address='',
        )

    def subscribe(self, changed: object) -> None:
        self.changed = changed


@pytest.fixture(name='buses')
def make_buses() -> Iterator[tuple[ZmqBus, ZmqBus]]:
    """Start two buses and stop them at the end."""
    addresses = {A: free_address(), B: free_address()}
    buses = [
        ZmqBus(me, addresses[me], addresses.get, SystemClock()) for me in (A, B)
    ]
    for bus in buses:
        bus.start()
        watch_messages(Metrics(), bus.messages, _Members(), bus.me)
    yield buses[0], buses[1]
    for bus in buses:
        bus.stop()


def _list_counts(traffic: MessageTraffic) -> dict[tuple[str, str, str], int]:
    return {
        (kind, direction.value, distance.value): count.messages
        for (kind, direction, distance), count in traffic
    }


def test_both_ends_count_a_reply_under_its_request(
    buses: tuple[ZmqBus, ZmqBus],
) -> None:
    """Replies have no kind on the wire and would all count as one."""
    client, handler = buses
    handler.register(Ask, echo)
    client.request(B, Ask(text='x' * 1000), Told, 5)
    expected = {
        ('Ask', 'sent', 'same region'): 1,
        ('Ask', 'received', 'same region'): 1,
    }
    assert _list_counts(client.messages) == expected
    assert _list_counts(handler.messages) == expected
    sizes = [sorted(count.size for _, count in bus.messages) for bus in buses]
    assert sizes[0] == sizes[1]
    assert sizes[0][0] > 1000


def test_kinds_without_a_handler_count_as_one(
    buses: tuple[ZmqBus, ZmqBus],
) -> None:
    """Names from the wire would add metrics without a limit."""
    client, handler = buses
    for number in range(3):
        kind = type(f'Odd{number}', (Message,), {}, frozen=True)
        with pytest.raises(LinkRefusedError):
            client.request(B, kind(), Told, 5)
    counts = _list_counts(handler.messages)
    assert counts == {
        ('unknown', 'received', 'same region'): 3,
        ('unknown', 'sent', 'same region'): 3,
    }


def test_metrics_follow_a_peer_to_another_region() -> None:
    """Counters of the old distance must not go back."""
    members, traffic, metrics = _Members(), MessageTraffic(), Metrics()
    watch_messages(metrics, traffic, members, A)
    traffic.record_sent(B, 'Ask', 10)
    members.zones[B] = ('south', 'y')
    traffic.forget_distances()
    traffic.record_sent(B, 'Ask', 5)
    traffic.record_received(InstanceId('new'), 'Ask', 1)
    text = metrics.render('text/plain')[0].decode()
    for line in (
        'bytes_total{distance="same region",message="Ask",way="sent"} 10',
        'bytes_total{distance="other region",message="Ask",way="sent"} 5',
        'bytes_total{distance="unknown",message="Ask",way="received"} 1',
    ):
        assert f'guavagate_bus_{line}' in text


def test_index_is_bounded_and_counting_is_cheap(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load: 330 peers and 30 kinds; counting must not show in a message."""
    monkeypatch.setattr(_message_traffic, 'MAX_INDEX_ENTRIES', 5000)
    traffic = MessageTraffic()
    traffic.set_locator(lambda peer: Distance.SAME_ZONE)
    peers = [InstanceId(f'instance-{number}') for number in range(330)]
    kinds = [f'Kind{number}' for number in range(30)]
    for peer in peers:
        for kind in kinds:
            traffic.record_sent(peer, kind, 1)
    assert len(traffic._sent) <= 5000
    assert sum(count.messages for _, count in traffic) == 330 * 30
    began_at = time.process_time()
    for _ in range(100_000):
        traffic.record_sent(peers[-1], 'Kind29', 100)
    assert time.process_time() - began_at < 0.5
