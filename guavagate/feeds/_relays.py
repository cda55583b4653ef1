"""Decides which instance watches the store for all, and which take over.

Load pattern: ninety instances follow the configuration and the registrations.
If all watched, each change would end ninety calls. If all read the store
whenever the relay's data is stale, they would make hundreds of calls a second
during an outage of the store, and again at its end. Therefore one instance
relays, and some standbys take over one after the other. All others read the
store only when no relay sends messages: a relay that does send them calls the
store through its peers before its data is stale. This module does no network
calls.
"""

from collections.abc import Sequence
from typing import Final

from guavagate.models import InstanceId
from guavagate.settings import PeerSettings
from guavagate.util.uptime import BootOf, ignore_boots, rank_by_uptime

# A change that the store acknowledged must take effect here within two seconds.
# A relay sends the age of its data; beyond this age a standby reads the store,
# which takes some milliseconds.
STALE_SECONDS: Final = 1.5
# A relay sends a heartbeat every 0.4 s. After two missed heartbeats the first
# standby takes over before any instance's data is stale.
FIRST_STANDBY_WAIT_SECONDS: Final = 0.9
NEXT_STANDBYS_WAIT_SECONDS: Final = 1.2
# How many instances may take over from the relay. If the store rejects single
# machines, some of these can still reach it.
STANDBY_COUNT: Final = 5


def rank_relays(
    alive: Sequence[PeerSettings], boot_of: BootOf = ignore_boots
) -> list[InstanceId]:
    """Return all instances in the order in which they become relays.

    Each instance computes the order locally from the uptime of the live
    instances. Instances that serve no callers come first, as they have capacity
    to spare; the second one is in another zone than the first. If instances
    disagree on who is alive, there are more relays for a moment, which only
    costs calls.
    """
    zones = {each.id: each.availability_zone for each in alive}
    without_edge = [each.id for each in alive if not each.http_address]
    with_edge = [each.id for each in alive if each.http_address]
    ranked = [
        *rank_by_uptime('feed', without_edge, boot_of),
        *rank_by_uptime('feed', with_edge, boot_of),
    ]
    for place, candidate in enumerate(ranked):
        if zones[candidate] != zones[ranked[0]]:
            ranked.insert(1, ranked.pop(place))
            break
    return ranked


def must_read_store(rank: int, since_message: float, age: float) -> bool:
    """Return whether an instance must read the store itself.

    Parameters
    ----------
    rank
        Its place in `rank_relays`; the first instance always reads the store.
    since_message
        Seconds since a relay's last message.
    age
        Age of the newest data from a relay, in seconds.
    """
    if rank == 0:
        return True
    if rank > STANDBY_COUNT:
        return since_message >= STALE_SECONDS
    wait = (
        FIRST_STANDBY_WAIT_SECONDS if rank == 1 else NEXT_STANDBYS_WAIT_SECONDS
    )
    return since_message >= wait or age >= STALE_SECONDS
