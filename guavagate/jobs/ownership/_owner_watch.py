"""Heartbeats between a service's job owner and its successors.

The owner sends heartbeats to its two successors. When they stop, the first
successor probes the owner on a new connection and asks others to do the same.
`Failover` decides; the callback starts and stops the work.
"""

import logging
from collections.abc import Callable, Iterable
from typing import Final

import gevent
import msgspec

from guavagate.clock import Clock, Task
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import LinkError
from guavagate.jobs._messages import (
    OwnerHeartbeat,
    OwnerProbed,
    ProbeOwner,
)
from guavagate.jobs.ownership._failover import (
    HEARTBEAT_INTERVAL_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    Action,
    Failover,
)
from guavagate.jobs.ownership._ownership import Ownership
from guavagate.links import Bus, Message, expect
from guavagate.metrics import Metrics, names
from guavagate.models import InstanceId, ServiceId
from guavagate.util.boot_clock import read_boot_clock

_LOGGER: Final = logging.getLogger(__name__)

DECISION_INTERVAL_SECONDS: Final = 0.1
# The first successor may take over. Views of the members differ for moments, so
# the second one may consider itself the first.
SUCCESSOR_COUNT: Final = 2
# How many others probe the owner, and for how long. Their answers have to be
# there before this instance's own probe times out.
WITNESS_COUNT: Final = 3
WITNESS_TIMEOUT_SECONDS: Final = 0.2


class _Watch(msgspec.Struct):
    """The owner that this instance watches as its first successor."""

    owner: InstanceId
    witnesses: list[InstanceId]
    failover: Failover


class OwnerWatch:
    """Sends heartbeats of owned services, and watches the owners of others.

    Parameters
    ----------
    on_change
        Called when this instance has to start or stop standing in for the
        owner of a service; must not block.
    """

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        me: InstanceId,
        ownership: Ownership,
        metrics: Metrics,
        on_change: Callable[[], None],
        boot_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._me = me
        self._ownership = ownership
        self._metrics = metrics
        self._on_change = on_change
        self._now = boot_clock
        self._watches: dict[ServiceId, _Watch] = {}
        self._recipients: dict[ServiceId, list[InstanceId]] = {}
        self._tasks: list[Task] = []
        bus.register(OwnerHeartbeat, self._on_heartbeat)
        bus.register(ProbeOwner, self._on_probe)

    def start(self) -> None:
        """Start to send heartbeats and to watch the owners."""
        if not self._tasks:
            self._tasks = [
                self._clock.spawn(self._send_heartbeats),
                self._clock.spawn(self._decide_periodically),
            ]

    def update(self, services: Iterable[ServiceId]) -> None:
        """Apply a change of the members or of the services with jobs."""
        services = set(services)
        self._recipients = {}
        for gone in self._watches.keys() - services:
            self._watches.pop(gone)
        for service in services:
            in_turn = self._ownership.list_in_turn(service)
            ready = self._ownership.ready
            if ready and in_turn[:1] == [self._me]:
                self._recipients[service] = in_turn[1 : 1 + SUCCESSOR_COUNT]
            if ready and in_turn[1:2] == [self._me]:
                self._watch_owner(service, in_turn[0])
            else:
                self._watches.pop(service, None)

    def stands_in(self, service: ServiceId) -> bool:
        """Return whether this instance works in the place of the owner."""
        watch = self._watches.get(service)
        return watch is not None and watch.failover.working

    def _watch_owner(self, service: ServiceId, owner: InstanceId) -> None:
        watch = self._watches.get(service)
        if watch is None or watch.owner != owner:
            watch = _Watch(owner, [], Failover(self._now()))
            self._watches[service] = watch
        witnesses = self._ownership.list_witnesses(owner)
        watch.witnesses = witnesses[:WITNESS_COUNT]

    def _send_heartbeats(self) -> None:
        while True:
            for service, recipients in list(self._recipients.items()):
                for recipient in recipients:
                    self._bus.send(recipient, OwnerHeartbeat(service=service))
            self._clock.sleep(HEARTBEAT_INTERVAL_SECONDS)

    def _on_heartbeat(self, sender: InstanceId, message: Message) -> None:
        watch = self._watches.get(expect(message, OwnerHeartbeat).service)
        if watch is not None and watch.owner == sender:
            watch.failover.record_heartbeat(self._now())

    def _decide_periodically(self) -> None:
        while True:
            for service, watch in list(self._watches.items()):
                self._decide(service, watch)
            self._clock.sleep(DECISION_INTERVAL_SECONDS)

    def _decide(self, service: ServiceId, watch: _Watch) -> None:
        now = self._now()
        action = watch.failover.decide(now)
        if action is Action.WAIT:
            return
        if action is Action.PROBE:
            self._clock.spawn(self._probe, service, watch, now)
            return
        event = events.JOBS_RETURNED
        if action is Action.TAKE_OVER:
            event = events.JOBS_TAKEN_OVER
            self._metrics.count(names.EARLY_TAKEOVERS)
        write(
            _LOGGER,
            event,
            service=service,
            owner=watch.owner,
            silent=round(watch.failover.measure_silence(now), 2),
        )
        self._on_change()

    def _probe(self, service: ServiceId, watch: _Watch, now: float) -> None:
        """Probe an owner from here and from others, all at once."""
        asked = [
            self._clock.spawn(self._ask_witness, each, watch.owner)
            for each in watch.witnesses
        ]
        reached = self._bus.probe(watch.owner, PROBE_TIMEOUT_SECONDS)
        # Each has a time limit of its own.
        gevent.joinall(asked)
        known = [each.value for each in asked if each.value is not None]
        # If most do not answer, this instance is probably cut off with them.
        watch.failover.record_probe(
            now,
            reached=reached or any(known),
            reached_others=bool(known) and 2 * len(known) >= len(asked),
        )
        write(
            _LOGGER,
            events.OWNER_PROBED,
            service=service,
            owner=watch.owner,
            silent=round(watch.failover.measure_silence(self._now()), 2),
            reached=reached,
            answers=len(known),
            reached_by_others=sum(known),
        )

    def _ask_witness(
        self, witness: InstanceId, owner: InstanceId
    ) -> bool | None:
        """Return whether a witness reaches the owner; None if unknown."""
        try:
            reply = self._bus.request(
                witness,
                ProbeOwner(owner=owner),
                OwnerProbed,
                PROBE_TIMEOUT_SECONDS,
            )
        except LinkError as error:
            _LOGGER.debug('%s did not probe %s: %s', witness, owner, error)
            return None
        return reply.reached

    def _on_probe(self, _: InstanceId, message: Message) -> OwnerProbed:
        owner = expect(message, ProbeOwner).owner
        return OwnerProbed(
            reached=self._bus.probe(owner, WITNESS_TIMEOUT_SECONDS)
        )
