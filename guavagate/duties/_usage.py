"""Accounts for the usage of all callers: counted everywhere, reported once."""

from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.duties._cluster_clock import ClusterClock
from guavagate.duties._counter import UsageCounter
from guavagate.duties._publisher import UsagePublisher
from guavagate.duties._reporter import LEASE_PATH, UsageReporter
from guavagate.jobs import Ownership
from guavagate.links import Bus
from guavagate.models import InstanceId, TeamId
from guavagate.ports.duties import DutyClient
from guavagate.ports.store import ObjectStore
from guavagate.rollouts import MAX_SUCCESSORS, Lease, Renewals
from guavagate.runtime import Members
from guavagate.util.boot_clock import read_boot_clock

_DUTY: Final = 'usage'


class UsageAccounting:
    """One instance's part of usage accounting.

    Parameters
    ----------
    length
        The length of a window in seconds.
    enabled
        Whether this deployment reports usage.
    serves_callers
        Whether this instance has requests to count.
    """

    def __init__(
        self,
        me: InstanceId,
        clock: Clock,
        bus: Bus,
        store: ObjectStore,
        client: DutyClient,
        members: Members,
        ownership: Ownership,
        renewals: Renewals,
        length: float,
        lease_seconds: float,
        *,
        enabled: bool,
        serves_callers: bool,
        boot_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._me = me
        self._ownership = ownership
        self._enabled = enabled
        self._serves_callers = serves_callers
        cluster_clock = ClusterClock(clock.wall, boot_clock)
        members.subscribe(
            lambda: cluster_clock.retain({each.id for each in members.alive()})
        )
        self._publisher = UsagePublisher(
            me, clock, bus, UsageCounter(length), cluster_clock, self._rank
        )
        lease = Lease(
            store,
            LEASE_PATH,
            me,
            lease_seconds,
            renewals,
            self._list_successors,
            boot_clock,
        )
        self._reporter = UsageReporter(
            me,
            clock,
            bus,
            store,
            lease,
            client,
            cluster_clock,
            length,
            self._is_reporter,
        )

    def start(self) -> None:
        """Start counting, and reporting when this instance is the reporter."""
        if self._enabled and self._serves_callers:
            self._publisher.start()
        if self._enabled:
            self._reporter.start()

    def record(self, team: TeamId, seconds_ago: float) -> None:
        """Count a request that an upstream started `seconds_ago`."""
        if self._enabled:
            self._publisher.record(team, seconds_ago)

    def _rank(self) -> list[InstanceId]:
        return self._ownership.rank_for_duty(_DUTY)

    def _list_successors(self) -> list[InstanceId]:
        return [each for each in self._rank() if each != self._me][
            :MAX_SUCCESSORS
        ]

    def _is_reporter(self) -> bool:
        ranked = self._rank()
        first = bool(ranked) and ranked[0] == self._me
        return self._ownership.ready and first
