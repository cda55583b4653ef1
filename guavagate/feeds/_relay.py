"""Sends what a relay knows to all other instances."""

import secrets
from collections.abc import Callable, Mapping
from typing import Final

from guavagate.clock import Clock
from guavagate.exceptions import LinkError
from guavagate.feeds._follower import UNKNOWN_AGE_SECONDS
from guavagate.feeds._messages import (
    FeedAddition,
    FeedBeat,
    FeedChange,
    FeedClock,
    FeedCopy,
    FeedEntry,
    ReadFeed,
    ReadFeedClock,
)
from guavagate.feeds._proof import Proof
from guavagate.feeds._table import FeedTable, find_prefix
from guavagate.helpers.mirror import Mirror
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId, Revision
from guavagate.runtime import Members

HEARTBEAT_INTERVAL_SECONDS: Final = 0.4


class Relay:
    """Sends changes and heartbeats to all others, and answers their reads.

    Parameters
    ----------
    prefixes, later, urgent
        The prefixes to relay, those of them that the first release does not
        follow, and those of the later ones that have to be as fresh as the
        first.
    list_mirrors
        Returns the mirrors of the store that this instance runs now, by
        prefix.

    Attributes
    ----------
    active
        Whether this instance relays now.
    """

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        members: Members,
        me: InstanceId,
        table: FeedTable,
        proof: Proof,
        prefixes: tuple[str, ...],
        later: tuple[str, ...],
        urgent: tuple[str, ...],
        list_mirrors: Callable[[], Mapping[str, Mirror]],
        boot_clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._members = members
        self._me = me
        self._table = table
        self._proof = proof
        self._prefixes = prefixes
        self._later = later
        self._urgent = urgent
        self._list_mirrors = list_mirrors
        self._boot_clock = boot_clock
        self._boot = secrets.randbits(62)
        self._change_number = 0
        self.active = False
        table.on_change = self._publish_change
        bus.register(ReadFeed, self._on_read_feed)
        bus.register(ReadFeedClock, self._on_read_clock)

    def send_heartbeats(self) -> None:
        """Send heartbeats while active; does not return."""
        while True:
            self._clock.sleep(HEARTBEAT_INTERVAL_SECONDS)
            if self.active:
                self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Send a heartbeat now; the first one makes the others follow."""
        beat = FeedBeat(
            boot=self._boot,
            number=self._change_number,
            age=self._compute_age(),
            proved_at=self._proof.at,
            clock=self._boot_clock(),
        )
        self._broadcast(beat)

    def _publish_change(self, entry: FeedEntry) -> None:
        if not self.active:
            return
        self._change_number += 1
        is_later = find_prefix(entry.path) in self._later
        kind = FeedAddition if is_later else FeedChange
        message = kind(boot=self._boot, number=self._change_number, entry=entry)
        self._broadcast(message)

    def _broadcast(self, message: Message) -> None:
        for peer in self._members.alive():
            if peer.id != self._me:
                self._bus.send(peer.id, message)

    def _is_loaded(self) -> bool:
        return all(each.loaded for each in self._list_mirrors().values())

    def _split_mirrors(self) -> tuple[list[Mirror], list[Mirror]]:
        """Return the mirrors of the first prefixes, and of the later ones.

        The later ones are confirmed less often, so the revision of a snapshot
        is that of the first ones.
        """
        first: list[Mirror] = []
        later: list[Mirror] = []
        for prefix, mirror in self._list_mirrors().items():
            (later if prefix in self._later else first).append(mirror)
        return first, later

    def _compute_age(self) -> float:
        if not self._is_loaded():
            return UNKNOWN_AGE_SECONDS
        confirmed = [
            each.confirmed_at
            for prefix, each in self._list_mirrors().items()
            if prefix not in self._later or prefix in self._urgent
        ]
        return self._clock.now() - min(confirmed, default=0)

    def _on_read_feed(self, _: InstanceId, message: Message) -> FeedCopy:
        request = expect(message, ReadFeed)
        if not self.active or not self._is_loaded():
            raise LinkError(
                f'{self._me} does not relay the feed',
                'send the request to another instance',
            )
        first, later = self._split_mirrors()
        follows_all = set(self._prefixes) <= set(request.prefixes)
        packed = request.packed and (follows_all or not self._later)
        return FeedCopy(
            boot=self._boot,
            number=self._change_number,
            age=self._compute_age(),
            revision=min(each.revision for each in first),
            entries=[] if packed else self._table.entries(self._later),
            packed=self._table.pack_entries() if packed else b'',
            prefixes=self._prefixes if packed else (),
            later_revision=min(
                (each.revision for each in later), default=Revision(0)
            ),
            revisions={
                prefix: each.revision
                for prefix, each in self._list_mirrors().items()
            },
            proved_at=self._proof.at,
            clock=self._boot_clock(),
        )

    def _on_read_clock(self, _: InstanceId, message: Message) -> FeedClock:
        expect(message, ReadFeedClock)
        return FeedClock(boot=self._boot, clock=self._boot_clock())
