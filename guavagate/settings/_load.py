"""How an instance that starts learns the settings.

Store and peers are asked side by side and the newest revision wins: either
may be down, and the store may answer from an old copy. Taking the first
answer could put an earlier revision in force than this instance had before
its restart.
"""

import dataclasses
import random
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.events import settings as events
from guavagate.events import write
from guavagate.exceptions import LinkError, StoreError, StoreUnavailableError
from guavagate.models import InstanceId
from guavagate.ports.store import ObjectStore
from guavagate.settings._freshness import Freshness
from guavagate.settings._peer_sync import PeerSync
from guavagate.settings._relay import read_records
from guavagate.settings._table import LOGGER, SettingsTable

_STORE_TIMEOUT: Final = 3.0
_PAUSE: Final = 1.0
_PEERS_ASKED: Final = 8
# Rounds between two log lines, for it may wait for hours.
_LOG_EVERY: Final = 30


@dataclasses.dataclass(frozen=True)
class Sources:
    """Where an instance that starts can learn the settings."""

    clock: Clock
    store: ObjectStore
    table: SettingsTable
    peer_sync: PeerSync
    freshness: Freshness
    peers: Callable[[], list[InstanceId]]
    dice: random.Random


def load_settings(sources: Sources) -> None:
    """Return once the settings are known, however long that takes."""
    rounds = 0
    while True:
        peers = sources.peers()
        asked = sources.dice.sample(peers, min(_PEERS_ASKED, len(peers)))
        spawn = sources.clock.spawn
        tasks = [spawn(_ask_store, sources)]
        tasks.extend(spawn(_ask_peer, sources, peer) for peer in asked)
        answers = [task.get() for task in tasks]
        if any(answers):
            return
        if rounds % _LOG_EVERY == 0:
            write(LOGGER, events.NOT_LOADED, asked=['object API', *asked])
        rounds += 1
        sources.clock.sleep(_PAUSE)


def _ask_store(sources: Sources) -> bool:
    try:
        _read_bounded(sources.clock, sources.store, sources.table)
    except StoreError as error:
        LOGGER.debug('no list of the settings: %s', error)
        return False
    sources.freshness.record_store_answer()
    return True


def _ask_peer(sources: Sources, peer: InstanceId) -> bool:
    try:
        known = sources.peer_sync.sync_with(peer)
    except LinkError:
        return False
    if known:
        sources.freshness.record_peer_contact()
    return known


def _read_bounded(
    clock: Clock, store: ObjectStore, table: SettingsTable
) -> None:
    with clock.timeout(_STORE_TIMEOUT, _tell_slow):
        found, _ = read_records(store)
    for stored in found:
        if stored.record is not None:
            table.apply_if_newer(stored.record)


def _tell_slow() -> StoreError:
    return StoreUnavailableError(
        f'the object API gave no list in {_STORE_TIMEOUT:g} s',
        'check the object API',
    )
