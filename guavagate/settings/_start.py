"""How an instance that starts learns the settings.

Store and peers are asked side by side and the newest revision wins: either
may be down, and the store may answer from an old copy. Taking the first
answer could put an earlier revision in force than this instance had before
its restart.
"""

import random
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.events import settings as events
from guavagate.events import write
from guavagate.exceptions import LinkError, StoreError, StoreUnavailableError
from guavagate.models import InstanceId
from guavagate.ports.store import ObjectStore
from guavagate.settings._exchange import Exchange
from guavagate.settings._freshness import Freshness
from guavagate.settings._relay import read_all
from guavagate.settings._table import LOGGER, SettingsTable

_STORE_TIMEOUT: Final = 3.0
_PAUSE: Final = 1.0
_PEERS_ASKED: Final = 8


def learn_settings(
    clock: Clock,
    store: ObjectStore,
    table: SettingsTable,
    exchange: Exchange,
    freshness: Freshness,
    peers: Callable[[], list[InstanceId]],
    dice: random.Random,
) -> None:
    """Return once the settings are known, however long that takes."""

    def ask_store() -> bool:
        try:
            found = _read_bounded(clock, store, table)
        except StoreError as error:
            write(LOGGER, events.WATCH_FAILED, error=str(error))
            return False
        freshness.hear_store()
        return found

    def ask_peer(peer: InstanceId) -> bool:
        try:
            known = exchange.learn_from(peer)
        except LinkError:
            return False
        if known:
            freshness.hear_peer()
        return known

    while True:
        known = peers()
        asked = dice.sample(known, min(_PEERS_ASKED, len(known)))
        tasks = [clock.spawn(ask_store)]
        tasks.extend(clock.spawn(ask_peer, peer) for peer in asked)
        answers = [task.get() for task in tasks]
        if any(answers):
            return
        write(LOGGER, events.NOT_KNOWN, asked=['object API', *asked])
        clock.sleep(_PAUSE)


def _read_bounded(
    clock: Clock, store: ObjectStore, table: SettingsTable
) -> bool:
    with clock.timeout(_STORE_TIMEOUT, _tell_slow):
        found, _ = read_all(store)
    for stored in found:
        if stored.record is not None:
            table.offer(stored.record)
    return True


def _tell_slow() -> StoreError:
    return StoreUnavailableError(
        f'the object API gave no list in {_STORE_TIMEOUT:g} s',
        'check the object API',
    )
