"""Which instance watches the store for all, and who steps in; no network.

Load pattern: ninety instances follow the configuration and the registrations.
Were all to watch, each change would end ninety calls; were all to ask for
themselves whenever the relay's news is old, an outage of the store would meet
hundreds of calls a second, as many again at its end. So one relays, and some
stand-ins step in one after the other. All others ask only when they hear
nobody, as a relay that is heard asks through its peers before its news is old.
"""

from collections.abc import Sequence
from typing import Final

from guavagate.models import InstanceId
from guavagate.settings import PeerSettings
from guavagate.util.seniority import BootOf, forget_boots, rank_seniors

# The store's acknowledgement has to be in force here within two seconds. A
# relay says how old its news is; beyond this a stand-in asks the store, which
# takes some milliseconds.
STALE_SECONDS: Final = 1.5
# A relay beats each 0.4 s; two missed beats, and the first stand-in acts before
# the news of anybody is old.
SILENT_SECONDS: Final = 0.9
NEXT_SILENT_SECONDS: Final = 1.2
# How many step in when the relay and the first stand-in do not help; what turns
# single machines away leaves some of these a way.
STANDBY_COUNT: Final = 5


def rank_relays(
    alive: Sequence[PeerSettings], boot_of: BootOf = forget_boots
) -> list[InstanceId]:
    """Return all instances in the order in which they relay.

    Found without asking, by seniority among who is alive. Instances without
    a callers' edge go first, as they have time to spare; the second one is of
    another zone than the first. Should views differ, there are more relays for
    a moment, which costs calls and nothing else.
    """
    zones = {each.id: each.availability_zone for each in alive}
    quiet = [each.id for each in alive if not each.http_address]
    busy = [each.id for each in alive if each.http_address]
    ranked = [
        *rank_seniors('feed', quiet, boot_of),
        *rank_seniors('feed', busy, boot_of),
    ]
    for place, candidate in enumerate(ranked):
        if zones[candidate] != zones[ranked[0]]:
            ranked.insert(1, ranked.pop(place))
            break
    return ranked


def is_due(rank: int, silence: float, age: float) -> bool:
    """Return whether an instance asks the store itself.

    Parameters
    ----------
    rank
        Its place among `rank_relays`; the first one always asks.
    silence
        Seconds since a relay was heard.
    age
        Seconds since the newest news that a relay has told was true.
    """
    if rank == 0:
        return True
    if rank > STANDBY_COUNT:
        return silence >= STALE_SECONDS
    patience = SILENT_SECONDS if rank == 1 else NEXT_SILENT_SECONDS
    return silence >= patience or age >= STALE_SECONDS
