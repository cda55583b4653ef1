"""Peers compare what is in force, and fetch what they lack.

Each instance sends a digest of constant size to a few random peers a
second. Where two differ, the receiver asks for the revisions, fetches the
newer ones and tells back what the sender lacks. Whoever missed a revision is
thus found within a second or two, however it was missed: a dead instance in
the tree, a pause, a gap in a watch, a store that is down or old.
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
_FETCH_TIMEOUT: Final = 3.0


class PeerSync:
    """Compares this instance's settings with its peers'."""

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        table: SettingsTable,
        report: Callable[[TeamId | None], SettingsRevisions],
        heard: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._table = table
        self._report = report
        self._heard = heard
        self._busy: set[InstanceId] = set()
        bus.register(SettingsRevisionsAsk, self._handle_ask)
        bus.register(SettingsFetch, self._handle_fetch)

    def run(self, send: SendDigest) -> None:
        """Send digests; never returns."""
        while True:
            send(self._table.digest(), self._report(None).known)
            self._clock.sleep(DIGEST_INTERVAL_SECONDS)

    def handle_digest(
        self, sender: InstanceId, digest: int, known: bool
    ) -> None:
        """Take in a peer's digest; does not block."""
        if known:
            self._heard()
        if digest == self._table.digest() or sender in self._busy:
            return
        self._busy.add(sender)
        self._clock.spawn(self._compare, sender)

    def sync_with(self, peer: InstanceId) -> bool:
        """Fetch what a peer has newer; return whether it knew the settings.

        Raises
        ------
        LinkError
            The peer gave no answer.
        """
        theirs = self._bus.request(
            peer,
            SettingsRevisionsAsk(),
            SettingsRevisions,
            REQUEST_TIMEOUT_SECONDS,
        )
        newest = {**theirs.revisions, **theirs.unreadable}
        for team, revision in sorted(newest.items()):
            if revision > self._table.newest_revision(team):
                self._fetch(peer, team)
        for record in self._table.records():
            if record.revision > newest.get(record.team, 0):
                self._bus.send(peer, SettingsTell(record=record))
        return theirs.known

    def _fetch(self, peer: InstanceId, team: TeamId) -> None:
        fetched = self._bus.request(
            peer, SettingsFetch(team=team), SettingsFetched, _FETCH_TIMEOUT
        )
        if fetched.record is not None:
            self._table.apply_if_newer(fetched.record)

    def _compare(self, sender: InstanceId) -> None:
        try:
            self.sync_with(sender)
        except LinkError:
            # The next digest, of this peer or another, brings a new attempt.
            return
        finally:
            self._busy.discard(sender)

    def _handle_ask(
        self, sender: InstanceId, message: Message
    ) -> SettingsRevisions:
        return self._report(expect(message, SettingsRevisionsAsk).team)

    def _handle_fetch(
        self, sender: InstanceId, message: Message
    ) -> SettingsFetched:
        team = expect(message, SettingsFetch).team
        return SettingsFetched(record=self._table.newest(team))
