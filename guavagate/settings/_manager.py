"""Keeps the teams' settings of one instance up to date."""

import random
from collections.abc import Callable
from typing import Protocol

from guavagate.clock import Clock, Task
from guavagate.events import settings as events
from guavagate.events import write
from guavagate.links import Bus
from guavagate.models import InstanceId, Revision, TeamId
from guavagate.ports.store import ObjectStore
from guavagate.settings._broadcast import Broadcaster
from guavagate.settings._digests import (
    FactMembership,
    SendDigest,
    make_fact_sender,
    make_message_sender,
)
from guavagate.settings._freshness import Freshness
from guavagate.settings._load import Sources, load_settings
from guavagate.settings._messages import SettingsRevisions
from guavagate.settings._peer_sync import PeerSync
from guavagate.settings._record import SettingsRecord
from guavagate.settings._relay import Relay, choose_relay
from guavagate.settings._schema import (
    InstanceSettings,
    PeerSettings,
    TeamSettings,
)
from guavagate.settings._status import InstanceStatus, collect_status
from guavagate.settings._table import LOGGER, SettingsTable
from guavagate.settings._writer import (
    DEFAULT_LIMIT_SECONDS,
    ChangeRequest,
    SettingsWriter,
)
from guavagate.util.units import parse_duration


class _Members(Protocol):
    def alive(self) -> list[PeerSettings]: ...


class _Decisions(Protocol):
    def record(
        self, subject: str, kind: str, choice: str, reason: str
    ) -> None: ...


class TeamSettingsManager:
    """Keeps the teams' settings in force; implements `runtime.Teams`.

    Until the settings are loaded there are none: an instance that starts must
    not serve by the answer of a single stale source.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        clock: Clock,
        bus: Bus,
        store: ObjectStore,
        members: _Members,
        decisions: _Decisions,
    ) -> None:
        self.table = SettingsTable()
        self.writer = SettingsWriter(clock, store, self.table)
        self._settings = settings
        self._clock = clock
        self._bus = bus
        self._store = store
        self._members = members
        self._decisions = decisions
        self._loaded = False
        self._tasks: list[Task] = []
        self._subscribers: list[Callable[[TeamId], None]] = []
        self._rng = random.Random(settings.id)
        self._broadcaster = Broadcaster(bus, self.table)
        self._freshness = Freshness(
            clock, parse_duration(settings.settings_limit)
        )
        self._peer_sync = PeerSync(
            clock,
            bus,
            self.table,
            self.report,
            self._freshness.record_peer_contact,
        )
        self._send_digest = self._make_digest_sender()
        self._relay = Relay(
            clock,
            store,
            self.table,
            self.writer,
            self._is_relay,
            self._freshness.record_store_answer,
            self._send_to_zone,
        )
        self.table.subscribe(self._notify_subscribers)

    def start(self) -> None:
        """Load the settings, then follow their changes."""
        self._tasks = [self._clock.spawn(self._run)]

    def stop(self) -> None:
        """Stop following changes."""
        for task in self._tasks:
            task.kill()

    def get(self, team: TeamId) -> TeamSettings | None:
        """Return the settings in force for a team."""
        return self.table.get(team) if self._loaded else None

    def all(self) -> list[TeamSettings]:
        """Return every team's settings in force."""
        return self.table.all() if self._loaded else []

    def subscribe(self, changed: Callable[[TeamId], None]) -> None:
        """Register a non-blocking callback for changes."""
        self._subscribers.append(changed)

    def change(
        self, request: ChangeRequest, limit: float = DEFAULT_LIMIT_SECONDS
    ) -> SettingsRecord:
        """Write a change to the store and send it to all instances.

        Raises what `SettingsWriter.change` raises.
        """
        record = self.writer.change(request, limit)
        self._broadcaster.broadcast(record, self._list_peers())
        self._clock.spawn(self.writer.delete_oldest, record)
        write(
            LOGGER,
            events.CHANGED,
            team=record.team,
            revision=record.revision,
            who=record.change.who,
            change_id=record.change.change_id,
        )
        return record

    def unready_reasons(self) -> tuple[str, ...]:
        """Return why this instance is not ready; empty if it is."""
        if not self._loaded:
            return (
                'settings: waiting for the object API at'
                f' {self._settings.platform.object_api} or a peer that knows'
                ' them; none has answered yet',
            )
        unreadable = tuple(
            f'settings: this release cannot read revision {revision} of'
            f' {team!r}; replace the instance by a newer release'
            for team, revision in sorted(self.table.unreadable().items())
        )
        return unreadable + self._freshness.unready_reasons()

    def report(self, team: TeamId | None) -> SettingsRevisions:
        """Return the revisions in force here, for a peer or an operator."""
        revisions = self.table.revisions()
        if team is not None:
            revisions = {team: self.table.revision(team)}
        return SettingsRevisions(
            revisions={
                name: int(revision) for name, revision in revisions.items()
            },
            known=self._loaded,
            is_relay=self._relay.is_active,
            heard_store=self._freshness.seconds_since_store(),
            heard_peers=self._freshness.seconds_since_peers(),
            waits_for=self.unready_reasons(),
            unreadable=_to_integers(self.table.unreadable()),
        )

    def status(self, team: TeamId) -> list[InstanceStatus]:
        """Return each instance's revision in force, and why it lags."""
        return collect_status(
            self._bus,
            team,
            self._settings.id,
            self.report(team),
            self._list_known_peers(),
        )

    def _run(self) -> None:
        self._load()
        self._loaded = True
        write(LOGGER, events.LOADED, teams=len(self.table.records()))
        for record in self.table.records():
            self._notify_subscribers(record.team)
        peer_sync = self._clock.spawn(self._peer_sync.run, self._send_digest)
        self._tasks.append(peer_sync)
        self._relay.run()

    def _make_digest_sender(self) -> SendDigest:
        on_digest = self._peer_sync.handle_digest
        if isinstance(self._members, FactMembership):
            return make_fact_sender(self._members, on_digest)
        return make_message_sender(
            self._bus, self._list_peers, self._rng, on_digest
        )

    def _load(self) -> None:
        load_settings(
            Sources(
                clock=self._clock,
                store=self._store,
                table=self.table,
                peer_sync=self._peer_sync,
                freshness=self._freshness,
                peers=self._list_peers,
                rng=self._rng,
            )
        )

    def _notify_subscribers(self, team: TeamId) -> None:
        if not self._loaded:
            return
        record = self.table.record(team)
        if record is not None:
            self._decisions.record(
                f'settings/{team}/{record.revision}',
                'settings',
                'in force',
                f'{record.change.who}: {record.change.why}',
            )
        for changed in self._subscribers:
            _notify(changed, team)

    def _is_relay(self) -> bool:
        chosen = choose_relay(
            self._settings.availability_zone, self._members.alive()
        )
        # None while no instance of the zone counts as alive, not even this
        # one: an extra watch does less harm than a missing one.
        return chosen in {None, self._settings.id}

    def _send_to_zone(self, record: SettingsRecord) -> None:
        zone = self._settings.availability_zone
        self._broadcaster.broadcast(
            record,
            [
                peer.id
                for peer in self._members.alive()
                if peer.availability_zone == zone
                and peer.id != self._settings.id
            ],
        )

    def _list_peers(self) -> list[InstanceId]:
        own_id = self._settings.id
        return [peer.id for peer in self._members.alive() if peer.id != own_id]

    def _list_known_peers(self) -> dict[InstanceId, bool]:
        """Return every known instance and whether it is alive."""
        known = {peer.id: False for peer in self._settings.peers}
        known.update({peer.id: True for peer in self._members.alive()})
        known.pop(self._settings.id, None)
        return known


def _notify(changed: Callable[[TeamId], None], team: TeamId) -> None:
    # An exception would end the task that received the change, and no later
    # change would arrive: the instance would serve by old settings and still
    # report itself ready.
    try:
        changed(team)
    except Exception as error:
        write(LOGGER, events.APPLY_FAILED, team=team, error=repr(error))
        LOGGER.debug('a subscriber failed', exc_info=error)


def _to_integers(revisions: dict[TeamId, Revision]) -> dict[TeamId, int]:
    return {team: int(revisions[team]) for team in revisions}
