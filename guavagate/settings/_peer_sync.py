"""Reconciles the settings in force between peers (anti-entropy).

Every second each instance sends a digest of constant size to a few random
peers. If it differs from the receiver's, the receiver requests the sender's
revisions, fetches newer records and sends back those that the sender lacks. A
missed revision is thus found within a second or two, whatever the cause: a
dead instance in the broadcast tree, a paused process, a gap in a watch, or a
store that is unavailable or stale.
"""

from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.exceptions import LinkError
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId, TeamId
from guavagate.settings._digests import SendDigest
from guavagate.settings._messages import (
    SettingsFetch,
    SettingsFetched,
    SettingsRevisions,
    SettingsRevisionsAsk,
    SettingsTell,
)
from guavagate.settings._table import SettingsTable

DIGEST_INTERVAL_SECONDS: Final = 1.0
REQUEST_TIMEOUT_SECONDS: Final = 1.0
_FETCH_TIMEOUT_SECONDS: Final = 3.0


class PeerSync:
    """Synchronizes this instance's settings with its peers."""

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        table: SettingsTable,
        report: Callable[[TeamId | None], SettingsRevisions],
        on_contact: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._table = table
        self._report = report
        self._on_contact = on_contact
        self._comparing: set[InstanceId] = set()
        bus.register(SettingsRevisionsAsk, self._handle_ask)
        bus.register(SettingsFetch, self._handle_fetch)

    def run(self, send: SendDigest) -> None:
        """Send digests periodically; never returns."""
        while True:
            send(self._table.digest(), self._report(None).known)
            self._clock.sleep(DIGEST_INTERVAL_SECONDS)

    def handle_digest(
        self, sender: InstanceId, digest: int, known: bool
    ) -> None:
        """Handle a peer's digest without blocking."""
        if known:
            self._on_contact()
        if digest == self._table.digest() or sender in self._comparing:
            return
        self._comparing.add(sender)
        self._clock.spawn(self._compare, sender)

    def sync_with(self, peer: InstanceId) -> bool:
        """Exchange newer records; return whether the peer knew the settings.

        Raises
        ------
        LinkError
            The peer gave no answer.
        """
        answer = self._bus.request(
            peer,
            SettingsRevisionsAsk(),
            SettingsRevisions,
            REQUEST_TIMEOUT_SECONDS,
        )
        newest = {**answer.revisions, **answer.unreadable}
        for team, revision in sorted(newest.items()):
            if revision > self._table.newest_revision(team):
                self._fetch(peer, team)
        for record in self._table.records():
            if record.revision > newest.get(record.team, 0):
                self._bus.send(peer, SettingsTell(record=record))
        return answer.known

    def _fetch(self, peer: InstanceId, team: TeamId) -> None:
        fetched = self._bus.request(
            peer,
            SettingsFetch(team=team),
            SettingsFetched,
            _FETCH_TIMEOUT_SECONDS,
        )
        if fetched.record is not None:
            self._table.apply_if_newer(fetched.record)

    def _compare(self, sender: InstanceId) -> None:
        try:
            self.sync_with(sender)
        except LinkError:
            # The next digest, from any peer, triggers another attempt.
            return
        finally:
            self._comparing.discard(sender)

    def _handle_ask(
        self, sender: InstanceId, message: Message
    ) -> SettingsRevisions:
        return self._report(expect(message, SettingsRevisionsAsk).team)

    def _handle_fetch(
        self, sender: InstanceId, message: Message
    ) -> SettingsFetched:
        team = expect(message, SettingsFetch).team
        return SettingsFetched(record=self._table.newest(team))
