"""Decides how long watches of the store wait; uses no network."""

from typing import Final

import msgspec

# How long a relay's watch waits. Each answer, also an empty one, proves that
# the relay is up to date, and one relay's calls cost less than each change
# would cost if all instances watched.
RELAY_WAIT_SECONDS: Final = 0.9
# The same for later prefixes, whose objects instances also tell each other.
LATER_WAIT_SECONDS: Final = 3.0
# How long a relay waits after a change, so that the changes that often follow
# come in one answer. Registrations, the objects that may lapse, change often
# while samplers load, and a short delay does no harm: instances have two
# seconds to stop using an upstream that leaves.
RELAY_PAUSE_SECONDS: Final = 0.1
LAPSING_PAUSE_SECONDS: Final = 0.4
# An instance that watches for itself alone stops when it receives data from a
# relay. That takes about this long, so its first watch usually never starts.
DIRECT_PAUSE_SECONDS: Final = 1.2


class WatchTiming(msgspec.Struct, frozen=True):
    """Seconds that a watch may wait, and to pause after a change.

    Without `wait`, a watch waits for as long as is usual.
    """

    wait: float | None
    pause: float


def choose_timing(
    *, relaying: bool, lapses: bool, later: bool, urgent: bool
) -> WatchTiming:
    """Return the timing of the watch of a prefix.

    A watch may miss a change when the store drops its history, and says so at
    its end only. That of an `urgent` prefix therefore never waits for long.
    """
    if not relaying:
        wait = LATER_WAIT_SECONDS if urgent else None
        return WatchTiming(wait, DIRECT_PAUSE_SECONDS)
    return WatchTiming(
        LATER_WAIT_SECONDS if later and not urgent else RELAY_WAIT_SECONDS,
        LAPSING_PAUSE_SECONDS if lapses else RELAY_PAUSE_SECONDS,
    )
