"""Loads the settings when an instance starts.

The store and some peers are queried concurrently and the newest revision
wins: either may be unavailable, and the store may answer from a stale
replica. Using only the first answer could put an earlier revision in force
than this instance had before its restart.
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

_STORE_TIMEOUT_SECONDS: Final = 3.0
_RETRY_SECONDS: Final = 1.0
_PEERS_PER_ROUND: Final = 8
# Limits the log: an instance may wait for hours.
_ROUNDS_PER_LOG_LINE: Final = 30


@dataclasses.dataclass(frozen=True)
class Sources:
    """The sources from which an instance loads the settings."""

    clock: Clock
    store: ObjectStore
    table: SettingsTable
    peer_sync: PeerSync
    freshness: Freshness
    peers: Callable[[], list[InstanceId]]
    rng: random.Random


def load_settings(sources: Sources) -> None:
    """Load the settings, trying until the store or a peer has answered."""
    rounds = 0
    while True:
        peers = sources.peers()
        queried = sources.rng.sample(peers, min(_PEERS_PER_ROUND, len(peers)))
        spawn = sources.clock.spawn
        tasks = [spawn(_load_from_store, sources)]
        tasks.extend(spawn(_load_from_peer, sources, peer) for peer in queried)
        answers = [task.get() for task in tasks]
        if any(answers):
            return
        if rounds % _ROUNDS_PER_LOG_LINE == 0:
            write(LOGGER, events.NOT_LOADED, asked=['object API', *queried])
        rounds += 1
        sources.clock.sleep(_RETRY_SECONDS)


def _load_from_store(sources: Sources) -> bool:
    try:
        _read_store(sources.clock, sources.store, sources.table)
    except StoreError as error:
        LOGGER.debug('no list of the settings: %s', error)
        return False
    sources.freshness.record_store_answer()
    return True


def _load_from_peer(sources: Sources, peer: InstanceId) -> bool:
    try:
        known = sources.peer_sync.sync_with(peer)
    except LinkError:
        return False
    if known:
        sources.freshness.record_peer_contact()
    return known


def _read_store(clock: Clock, store: ObjectStore, table: SettingsTable) -> None:
    with clock.timeout(_STORE_TIMEOUT_SECONDS, _make_timeout_error):
        found, _ = read_records(store)
    for stored in found:
        if stored.record is not None:
            table.apply_if_newer(stored.record)


def _make_timeout_error() -> StoreError:
    return StoreUnavailableError(
        f'the object API gave no list in {_STORE_TIMEOUT_SECONDS:g} s',
        'check the object API',
    )
