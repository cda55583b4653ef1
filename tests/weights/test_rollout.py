"""Weight rollouts during engine failures and changes of the primary."""

from collections import Counter

import pytest

from guavagate.clock import PausedClock
from guavagate.exceptions import NotAppliedError, UpstreamError
from guavagate.measure.fakes import FakeDecisionLog, FakeTeams, World
from guavagate.models import (
    DeploymentId,
    Epoch,
    InstanceId,
    RunId,
    WeightVersion,
)
from guavagate.partitions import LocalPartitions
from guavagate.ports.engine import EngineOrder, EngineReport
from guavagate.runs import RUN_COMMANDS, PublishVersion, RunsState
from guavagate.runtime import Runtime
from guavagate.settings import parse_team_settings
from guavagate.weights import WeightRollout

_DEPLOYMENT = DeploymentId('trust/coach-models')
_SAMPLERS = '\n'.join(
    f'[[deployments.samplers]]\nid = "s{n}"\naddress = "s{n}:1"\n'
    'availability_zone = "jhb-east"'
    for n in range(4)
)


class Engines:
    """Four fake engines; a fetch takes one second and swaps can fail."""

    def __init__(self, clock: PausedClock) -> None:
        self.clock = clock
        self.versions = {f's{n}:1': WeightVersion(1) for n in range(4)}
        self.fetched: dict[str, dict[WeightVersion, float]] = {}
        self.orders: list[tuple[str, EngineOrder]] = []
        self.fail_swaps = 0
        self.reads = 0

    def report(self, address: str, timeout: float) -> EngineReport:
        """Return an engine's report."""
        self.reads += 1
        ready = self.fetched.get(address, {})
        return EngineReport(
            version=self.versions[address],
            prefetched=tuple(
                version
                for version, at in ready.items()
                if at <= self.clock.now()
            ),
        )

    def order(self, address: str, order: EngineOrder, timeout: float) -> None:
        """Execute an order."""
        self.orders.append((address, order))
        assert order.version is not None
        if order.action == 'prefetch':
            ready = self.fetched.setdefault(address, {})
            ready.setdefault(order.version, self.clock.now() + 1)
            return
        if self.fail_swaps:
            self.fail_swaps -= 1
            raise UpstreamError('swap failed', 'order it again')
        self.versions[address] = order.version

    def count(self, action: str) -> Counter[str]:
        """Return how often each engine received an order."""
        return Counter(
            address for address, order in self.orders if order.action == action
        )


class Primary:
    """A primary that rolls out the weights of one deployment."""

    def __init__(self, *, fences: bool = True) -> None:
        self.world = World(1)
        host = self.world.add('a')
        self.clock = self.world.clock
        self.engines = Engines(self.clock)
        self.state = RunsState()
        self.epoch = Epoch(1)
        me = InstanceId('a')
        team = parse_team_settings(
            'team = "trust"\n[[deployments]]\nid = "coach-models"\n'
            f'fences_orders = {str(fences).lower()}\n{_SAMPLERS}'
        )
        self.partitions = LocalPartitions(
            dict.fromkeys(RUN_COMMANDS, self.state)
        )
        runtime = Runtime(
            settings=self.world.settings_of('a'),
            clock=host.clock,
            bus=self.world.bus('a'),
            store=self.world.store_of('a'),
            members=self.world.members[me],
            teams=FakeTeams([team]),
            partitions=self.partitions,
            decisions=FakeDecisionLog(),
        )
        self.rollout = WeightRollout(
            runtime,
            self.engines,  # type: ignore[arg-type]
            lambda: [(self.epoch, self.state)],
            lambda deployment_key: 1,
            self.clock.now,
        )
        self.publish(1)
        self.rollout.start()

    def publish(self, version: int) -> None:
        """Publish a version."""
        self.state.apply(
            PublishVersion(
                at=self.clock.wall(),
                deployment=_DEPLOYMENT,
                run=RunId('r'),
                version=WeightVersion(version),
            )
        )


def test_all_samplers_get_new_weights_and_each_fetches_once() -> None:
    """Samplers fetch and swap once; afterwards reports are read rarely."""
    primary = Primary()
    primary.clock.advance(3)
    primary.publish(2)
    primary.clock.advance(12)
    assert set(primary.engines.versions.values()) == {WeightVersion(2)}
    assert set(primary.engines.count('prefetch').values()) == {1}
    before = primary.engines.reads
    primary.clock.advance(60)
    assert primary.engines.reads - before <= 8


def test_a_failed_swap_is_ordered_again() -> None:
    """Two swaps fail; orders repeat until all samplers have the target."""
    primary = Primary()
    primary.engines.fail_swaps = 2
    primary.publish(2)
    primary.clock.advance(20)
    assert set(primary.engines.versions.values()) == {WeightVersion(2)}


def test_a_late_order_of_a_former_primary_is_corrected() -> None:
    """An engine that ignores fencing executes a former primary's order.

    The new primary has rolled out version 2. The former one was paused between
    its last check of the clock and the send, and its order reverts one engine.
    The new primary reads the version back and orders the swap again.
    """
    primary = Primary()
    primary.publish(2)
    primary.clock.advance(15)
    primary.engines.versions['s1:1'] = WeightVersion(1)
    primary.clock.advance(75)
    assert primary.engines.versions['s1:1'] == WeightVersion(2)


def test_nothing_is_ordered_without_a_confirmed_epoch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A paused primary resumes after another instance has taken over.

    It still has the state and a newer version to roll out. The command that
    confirms its epoch is refused, so it sends no orders.
    """

    def refuse(*args: object) -> None:
        raise NotAppliedError('superseded', 'ask the new primary')

    primary = Primary()
    monkeypatch.setattr(primary.partitions, 'submit_here', refuse)
    primary.publish(2)
    primary.clock.advance(20)
    assert not primary.engines.orders


def test_a_new_primary_waits_if_engines_do_not_fence() -> None:
    """Orders of a former primary may arrive for eleven seconds."""
    primary = Primary(fences=False)
    primary.publish(2)
    primary.clock.advance(10)
    assert not primary.engines.orders
    primary.clock.advance(20)
    assert set(primary.engines.versions.values()) == {WeightVersion(2)}
