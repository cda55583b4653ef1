"""Injects faults into a fleet and reverts them."""

import functools
import random
from collections.abc import Callable
from typing import Any, Final

from guavagate.clock import Task
from guavagate.measure import history as hist
from guavagate.measure.fakes import Host
from guavagate.measure.outcomes._fleet import Fleet
from guavagate.measure.outcomes._upstream import STAGES, Upstream
from guavagate.models import InstanceId

_MESSAGE_KINDS: Final = ('Submit', 'Submit.reply', 'TakeOver', 'Leave')
_PARTITION_PREFIX: Final = 'partition'


class FaultInjector:
    """Injects faults into a fleet and reverts them.

    Attributes
    ----------
    injected
        Names of the faults that happened.
    """

    def __init__(
        self, fleet: Fleet, upstream: Upstream, rng: random.Random
    ) -> None:
        self.injected: list[str] = []
        self.events: list[hist.Event] = []
        self._fleet = fleet
        self._upstream = upstream
        self._rng = rng
        self._world = fleet.world

    def heal(self) -> None:
        """End every active fault and restart dead instances."""
        world = self._world
        world.store.outage = False
        world.store.added_delay = 0
        world.store.lose_answers = 0
        world.store.lose_next = 0
        world.store.late_write_share = 0
        world.store.on_write = None
        world.store.serve_stale(on=False)
        world.network.blocked.clear()
        world.network.loss = 0
        world.network.duplicates = 0
        world.network.on_send = None
        self._upstream.on_stage = None
        for name in list(self._fleet.partitions):
            if self._fleet.host(name).paused:
                world.resume(name)
            if self._fleet.host(name).dead:
                self._fleet.restart(name)

    def kill(self, name: str) -> None:
        """Kill an instance; it restarts after some seconds or in `heal`."""
        if not name or self._fleet.host(name).dead:
            return
        self._record('killed', name)
        self._world.kill(name)
        if self._rng.random() < 0.6:
            self._schedule(self._rng.uniform(0.2, 8), lambda: self._start(name))

    def pause(self, name: str) -> None:
        """Pause an instance for some seconds."""
        if not name or self._fleet.host(name).paused:
            return
        self._record('paused', name)
        self._world.pause(name)
        wait = self._rng.choice((0.3, 1.5, 4, 9, 25))
        self._schedule(wait, lambda: self._resume(name))

    def pick(self, role: str) -> str:
        """Return a running instance with a role, or an empty string."""
        primaries = self._fleet.list_primaries()
        found = {
            'primary': primaries,
            'other': [
                name
                for name in self._fleet.list_running()
                if name not in primaries
            ],
            'entry': self._fleet.list_running(),
        }[role]
        return self._rng.choice(found) if found else ''

    def list_running(self) -> list[str]:
        """Return the instances that are neither dead nor paused."""
        return self._fleet.list_running()

    def on_message(self, act: Callable[[str], None], role: str) -> None:
        """Call `act` when an instance sends the nth message of one kind."""
        kind = self._rng.choice(_MESSAGE_KINDS)
        remaining = [self._rng.randint(1, 12)]

        def act_on_send(host: Host, sent_kind: str, message: Any) -> None:
            if sent_kind != kind or remaining[0] <= 0:
                return
            if role == 'primary' and host.instance not in (
                self._fleet.list_primaries()
            ):
                return
            remaining[0] -= 1
            if not remaining[0]:
                self._record(f'{role} at {kind}', host.instance)
                act(host.instance)

        self._world.network.on_send = act_on_send

    def on_write(
        self, act: Callable[[str], None], *, after_write: bool
    ) -> None:
        """Call `act` when the nth write of a partition reaches the store.

        Parameters
        ----------
        after_write
            Whether to act after the write took effect, before its answer.
        """
        remaining = [self._rng.randint(1, 40)]

        def act_on_put(
            caller: str, call: str, path: str, applied: bool
        ) -> None:
            if applied is not after_write or not path.startswith(
                _PARTITION_PREFIX
            ):
                return
            remaining[0] -= 1
            if not remaining[0]:
                self._record('struck at a write', caller)
                act(caller)

        self._world.store.on_write = act_on_put

    def on_upstream_call(self, act: Callable[[str], None]) -> None:
        """Call `act` on an entry before, during or after an upstream call."""
        chosen_stage = self._rng.choice(STAGES)
        remaining = [self._rng.randint(1, 6)]

        def act_at_stage(host: Host, stage: str) -> None:
            if stage != chosen_stage or remaining[0] <= 0:
                return
            remaining[0] -= 1
            if not remaining[0]:
                self._record(f'entry {stage} the upstream call', host.instance)
                act(host.instance)

        self._upstream.on_stage = act_at_stage

    def inject_temporarily(
        self, name: str, begin: Callable[[], Any], end: Callable[[], Any]
    ) -> None:
        """Begin a fault and end it after some seconds."""
        self._record(name, '')
        begin()
        self._schedule(self._rng.choice((0.5, 2, 6, 20)), end)

    def block_one_way(self) -> None:
        """Drop all messages from one instance to another."""
        names = [InstanceId(name) for name in self._fleet.partitions]
        pair = tuple(self._rng.sample(names, 2))
        blocked = self._world.network.blocked
        self.inject_temporarily(
            'one-way partition',
            lambda: blocked.add((pair[0], pair[1])),
            lambda: blocked.discard((pair[0], pair[1])),
        )

    def stop_one(self) -> None:
        """Stop an instance gracefully, then start it again."""
        name = self.pick('entry')
        if name:
            self._record('planned stop', name)
            stop = self._fleet.host(name).clock.spawn(
                self._fleet.partitions[name].stop
            )
            self._fleet.clock.spawn(self._exit, name, stop)

    def _exit(self, name: str, stop: Task) -> None:
        """Kill a process after its stop and schedule its restart."""
        stop.join()
        if not self._fleet.host(name).dead:
            self._world.kill(name)
            self._schedule(self._rng.uniform(0.2, 8), lambda: self._start(name))

    def mark_falsely_dead(self, name: str) -> None:
        """Report a live instance as dead to some others for some seconds."""
        instance = InstanceId(name)
        peer = self._world.peers[instance]
        for other in sorted(self._world.members):
            if other == instance or self._rng.random() < 0.3:
                continue
            members = self._world.members[other]
            members.update(peer, alive=False)
            self._schedule(
                self._rng.choice((2, 8)),
                functools.partial(members.update, peer, alive=True),
            )

    def set_store_faults(self, **faults: Any) -> None:
        """Set faults of the store."""
        for name, setting in faults.items():
            setattr(self._world.store, name, setting)

    def set_network_faults(self, **faults: Any) -> None:
        """Set faults of the network."""
        for name, setting in faults.items():
            setattr(self._world.network, name, setting)

    def get_store_objects(self) -> dict[str, Any]:
        """Return the objects in the store."""
        return self._world.store.objects

    def record(self, name: str) -> None:
        """Record a fault."""
        self._record(name, '')

    def schedule(self, low: float, high: float, act: Callable[[], Any]) -> None:
        """Call `act` after a random delay between two bounds, in seconds."""
        self._schedule(self._rng.uniform(low, high), act)

    def _record(self, name: str, instance: str) -> None:
        """Record a fault and the instance that it affects."""
        now = self._fleet.clock.now()
        self.injected.append(name)
        self.events.append(
            hist.FaultInjected(
                at=now, who=instance, fault=f'{name} {instance}'.strip()
            )
        )

    def _schedule(self, wait: float, act: Callable[[], Any]) -> None:
        """Call `act` in a new task after some seconds."""
        clock = self._fleet.clock

        def run() -> None:
            clock.sleep(wait)
            act()

        clock.spawn(run)

    def _start(self, name: str) -> None:
        """Restart an instance if it is dead."""
        if self._fleet.host(name).dead:
            self._record('restarted', name)
            self._fleet.restart(name)

    def _resume(self, name: str) -> None:
        """Resume an instance if it is paused."""
        host = self._fleet.host(name)
        if host.paused and not host.dead:
            self._world.resume(name)
