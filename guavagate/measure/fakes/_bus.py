"""Fake network with delay, loss, duplicates and one-way partitions."""

import functools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from gevent.event import AsyncResult, Event

from guavagate.clock import PausedClock
from guavagate.exceptions import (
    GuavagateError,
    LinkError,
    LinkRefusedError,
)
from guavagate.helpers.waits import wait_for
from guavagate.links import Handler, Message
from guavagate.measure.fakes._host import Host
from guavagate.models import InstanceId

_Reply = TypeVar('_Reply', bound=Message)
_ENCODER = msgspec.msgpack.Encoder()


class Network:
    """Network that connects the fake buses of all instances.

    Parameters
    ----------
    delay
        Bounds of the one-way delay, in seconds.

    Attributes
    ----------
    loss
        Share of messages and replies that are lost.
    duplicates
        Share of one-way messages that arrive twice. Requests arrive once, but
        a late one may be handled after the requester timed out.
    blocked
        Pairs (source, target) whose messages are dropped.
    messages, sent_bytes
        Number and total size of the messages sent, by kind.
    on_send
        Called with the sending host, the kind and the message.
    """

    def __init__(
        self,
        clock: PausedClock,
        rng: random.Random,
        delay: tuple[float, float] = (0.0005, 0.002),
    ) -> None:
        self.clock = clock
        self.random = rng
        self.delay = delay
        self.loss = float(0)
        self.duplicates = float(0)
        self.blocked: set[tuple[InstanceId, InstanceId]] = set()
        self.messages: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()
        self.buses: dict[InstanceId, FakeBus] = {}
        self.on_send: Callable[[Host, str, Message], None] | None = None

    def add_bus(self, host: Host) -> 'FakeBus':
        """Create the bus of an instance, a new one after a restart."""
        bus = FakeBus(self, host)
        self.buses[host.instance] = bus
        return bus

    def transmit(
        self,
        source: InstanceId,
        target: InstanceId,
        kind: str,
        size: int,
        arrive: Callable[[], None],
    ) -> bool:
        """Schedule the arrival of a message; return whether it will arrive."""
        self.messages[kind] += 1
        self.sent_bytes[kind] += size
        if (source, target) in self.blocked:
            return False
        if self.random.random() < self.loss:
            return False
        wait = self.random.uniform(*self.delay)
        self.clock.call_at(self.clock.now() + wait, arrive)
        return True


class FakeBus:
    """Bus of one instance; implements `guavagate.links.Bus`."""

    def __init__(self, network: Network, host: Host) -> None:
        self._network = network
        self.host = host
        self._handlers: dict[str, tuple[type[Message], Handler]] = {}

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Call the handler in a new task for each message of this kind."""
        self._handlers[kind.__name__] = kind, handler

    def request(
        self,
        peer: InstanceId,
        message: Message,
        reply: type[_Reply],
        timeout: float,
    ) -> _Reply:
        """Send a request to a peer and wait for its reply."""
        self.call_send_hook(type(message).__name__, message)
        if peer not in self._network.buses:
            raise LinkRefusedError(
                f'instance {peer} is unknown', 'wait until it has joined'
            )
        waiter: AsyncResult[Any] = AsyncResult()
        raw = _ENCODER.encode(message)
        kind = type(message).__name__

        def answer(outcome: bytes | GuavagateError) -> None:
            size = len(outcome) if isinstance(outcome, bytes) else 1
            self._network.transmit(
                peer,
                self.host.instance,
                f'{kind}.reply',
                size,
                lambda: self.host.deliver(lambda: waiter.set(outcome)),
            )

        self._network.transmit(
            self.host.instance,
            peer,
            kind,
            len(raw),
            lambda: self._arrive(peer, kind, raw, answer),
        )
        with self.host.clock.timeout(
            timeout, lambda: _make_no_reply_error(peer, kind)
        ):
            outcome = waiter.get()
        if isinstance(outcome, GuavagateError):
            raise outcome
        return msgspec.msgpack.decode(outcome, type=reply)

    def send(self, peer: InstanceId, message: Message) -> None:
        """Send a one-way message without confirmation of its arrival."""
        self.call_send_hook(type(message).__name__, message)
        raw = _ENCODER.encode(message)
        kind = type(message).__name__
        copies = 1
        if self._network.random.random() < self._network.duplicates:
            copies = 2
        arrive = functools.partial(self._arrive, peer, kind, raw, None)
        for _ in range(copies):
            self._network.transmit(
                self.host.instance, peer, kind, len(raw), arrive
            )

    def probe(self, peer: InstanceId, timeout: float) -> bool:
        """Return whether a peer answers in time."""
        me, network = self.host.instance, self._network
        answered = Event()

        def answer() -> None:
            network.transmit(
                peer,
                me,
                'probe.reply',
                1,
                lambda: self.host.deliver(answered.set),
            )

        def arrive() -> None:
            if peer in network.buses:
                network.buses[peer].host.deliver(answer)

        network.transmit(me, peer, 'probe', 1, arrive)
        return wait_for(self.host.clock, answered, timeout)

    def handle(
        self,
        source: InstanceId,
        kind: str,
        raw: bytes,
        answer: Callable[[bytes | GuavagateError], None] | None,
    ) -> None:
        """Run the handler in a new task of this instance."""
        found = self._handlers.get(kind)
        if found is None:
            if answer is not None:
                answer(
                    LinkRefusedError(
                        f'{kind} has no handler', 'start its component'
                    )
                )
            return
        self.host.clock.spawn(_call, self, found, source, raw, answer)

    def _arrive(
        self,
        peer: InstanceId,
        kind: str,
        raw: bytes,
        answer: Callable[[bytes | GuavagateError], None] | None,
    ) -> None:
        """Deliver a message to the bus that has the peer's id on arrival."""
        bus = self._network.buses.get(peer)
        if bus is None:
            return
        source = self.host.instance
        bus.host.deliver(lambda: bus.handle(source, kind, raw, answer))

    def call_send_hook(self, kind: str, message: Message) -> None:
        """Call the hook that injects a fault as a message is sent."""
        if self._network.on_send is not None:
            self._network.on_send(self.host, kind, message)
            self.host.wait_until_running()


def _call(
    bus: FakeBus,
    found: tuple[type[Message], Handler],
    source: InstanceId,
    raw: bytes,
    answer: Callable[[bytes | GuavagateError], None] | None,
) -> None:
    """Decode a message, call its handler and send the reply."""
    kind, handler = found
    try:
        reply = handler(source, msgspec.msgpack.decode(raw, type=kind))
    except GuavagateError as error:
        if answer is not None:
            answer(error)
        return
    if answer is not None and reply is not None:
        bus.call_send_hook(f'{kind.__name__}.reply', reply)
        answer(_ENCODER.encode(reply))


def _make_no_reply_error(peer: InstanceId, kind: str) -> LinkError:
    """Return the error of a request that timed out."""
    return LinkError(f'{peer} did not reply to {kind}', 'retry the request')
