"""Assembles one instance with real links, clock and object API."""

import logging
from pathlib import Path
from typing import Final

from gevent.event import Event

from guavagate.clock import SystemClock
from guavagate.events import edge as events
from guavagate.events import write
from guavagate.explain import RecentDecisions
from guavagate.instance import Instance
from guavagate.integrations.instance_list import InstanceListPoller
from guavagate.integrations.object_api import ObjectApi
from guavagate.integrations.object_api.transport import make_http_transport
from guavagate.ledger import make_ledger_states
from guavagate.links import ZmqBus, watch_messages
from guavagate.membership import Membership
from guavagate.metrics import Metrics, names
from guavagate.models import Epoch, PartitionId
from guavagate.operations import Operations
from guavagate.partitions import Command, LocalPartitions, PartitionState
from guavagate.partitions.stored import StoredPartitions
from guavagate.runs import RUN_COMMANDS, PublishVersion, RunsState
from guavagate.runtime import Runtime
from guavagate.settings import InstanceSettings, TeamSettingsManager
from guavagate.util.units import parse_duration

_LOGGER = logging.getLogger(__name__)

# The balancer stops sending requests once it has seen that an instance isn't
# ready; requests that arrive until then are served.
BALANCER_REACTION_SECONDS: Final = 2.0
# The time until all peers know, from their probes, that this instance leaves.
LEAVE_PROPAGATION_SECONDS: Final = 1.5


class Process:
    """The process of one instance: its runtime and the parts that use it."""

    def __init__(self, settings: InstanceSettings) -> None:
        clock = SystemClock()
        credential = _read_secret(settings.peer_credential_file)
        self._members = Membership(settings, clock, credential)
        self._bus = ZmqBus(
            settings.id,
            settings.peer_address,
            self._members.address,
            clock,
            credential,
        )
        transport = make_http_transport(
            settings.platform.object_api,
            _read_secret(settings.platform.credentials_file).decode(),
            clock,
        )
        self._list = InstanceListPoller(
            transport, clock, self._members.update_candidates
        )
        store = ObjectApi(transport, clock, self._count_members)
        decisions = RecentDecisions(clock, settings.id)
        self._teams = TeamSettingsManager(
            settings, clock, self._bus, store, self._members, decisions
        )
        self._runtime = Runtime(
            settings=settings,
            clock=clock,
            bus=self._bus,
            store=store,
            members=self._members,
            teams=self._teams,
            partitions=LocalPartitions({}),
            decisions=decisions,
            metrics=Metrics(
                {
                    'instance': settings.id,
                    'availability_zone': settings.availability_zone,
                }
            ),
        )
        self._partitions = StoredPartitions(self._runtime, make_states)
        self._runtime.partitions = self._partitions
        self._instance = Instance(self._runtime, self._list_hosted)
        self._operations = Operations(
            self._runtime,
            self._instance,
            self._teams,
            decisions,
            self._list_hosted,
            self._partitions.list_owned,
        )
        self._instance.readiness.add('stop', self._check_stopping)
        metrics = self._runtime.metrics
        metrics.add_refresher(self._refresh_metrics)
        watch_messages(metrics, self._bus.messages, self._members, settings.id)
        self._instance.readiness.add('id', self._check_superseded)
        self._stop_requested = Event()

    def start(self) -> None:
        """Start all parts; the callers' edge starts last."""
        self._members.start()
        self._bus.start()
        self._teams.start()
        self._partitions.start()
        self._list.start()
        self._operations.start()
        self._instance.start()

    def request_stop(self) -> None:
        """Start a planned stop without waiting for it."""
        self._stop_requested.set()

    def reload(self, path: str) -> None:
        """Log that a changed settings file requires a restart."""
        write(_LOGGER, events.SETTINGS_NEED_RESTART, path=path)

    def wait_stop_requested(self) -> None:
        """Block until a planned stop is requested."""
        self._stop_requested.wait()

    def stop(self) -> None:
        """Stop within the time limit, without cutting a request.

        The order matters: first the balancer stops sending callers, then
        peers stop sending work, then the partitions move to other instances,
        and only then does the edge close. If the edge closed earlier, requests
        that the balancer still sends would be refused.
        """
        clock = self._runtime.clock
        end = clock.now() + parse_duration(self._runtime.settings.stop_limit)
        self._log('not ready, waiting for the balancer')
        clock.sleep(BALANCER_REACTION_SECONDS)
        self._instance.active.closing = True
        self._log('leaving, waiting for peers')
        self._members.start_leaving()
        clock.sleep(LEAVE_PROPAGATION_SECONDS)
        self._log('handing partitions over')
        complete = self._partitions.stop(max(end - clock.now(), 0) / 2)
        self._log('finishing what is held', handed_over=complete)
        self._instance.finish(max(end - clock.now(), 0))
        self._close()

    def _close(self) -> None:
        cut = self._instance.active.count
        self._instance.weights.stop()
        self._operations.stop()
        self._list.stop()
        self._teams.stop()
        self._members.stop()
        self._bus.stop()
        self._log('stopped', cut=cut)

    def _refresh_metrics(self) -> None:
        """Update the gauges, and the traffic between instances."""
        metrics = self._runtime.metrics
        metrics.set_gauge(
            names.STOPPED_REQUESTS, self._instance.quarantine.size
        )
        for by, traffic in (
            ('links', self._bus.traffic),
            ('probes', self._members.traffic),
        ):
            for way, messages, size in (
                ('sent', traffic.sent, traffic.sent_bytes),
                ('received', traffic.received, traffic.received_bytes),
            ):
                labels = {'by': by, 'way': way}
                metrics.set_total(names.PEER_MESSAGES, messages, **labels)
                metrics.set_total(names.PEER_BYTES, size, **labels)

    def _check_superseded(self) -> str:
        lost = self._members.superseded()
        return 'a later process carries this instance id' if lost else ''

    def _check_stopping(self) -> str:
        return (
            'the instance is being stopped'
            if self._stop_requested.is_set()
            else ''
        )

    def _count_members(self) -> int:
        return len(self._members.alive())

    def _list_hosted(self) -> list[tuple[Epoch, RunsState]]:
        return [
            (epoch, state)
            for epoch, state in self._partitions.list_states(PublishVersion)
            if isinstance(state, RunsState)
        ]

    def _log(self, phase: str, **fields: object) -> None:
        write(_LOGGER, events.STOP_PROGRESS, phase=phase, **fields)


def make_states(
    partition: PartitionId,
) -> dict[type[Command], PartitionState]:
    """Return one partition's states by the commands that they apply."""
    runs = RunsState()
    states: dict[type[Command], PartitionState] = {}
    for command in RUN_COMMANDS:
        states[command] = runs
    states.update(make_ledger_states(partition))
    return states


def _read_secret(path: str) -> bytes:
    """Read a credential file; return nothing if no file is configured."""
    return Path(path).read_bytes().strip() if path else b''
