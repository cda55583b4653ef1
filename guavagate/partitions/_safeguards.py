"""Switches that measurements use to show what each safeguard is for."""

import msgspec


class Safeguards(msgspec.Struct, frozen=True, kw_only=True):
    """All are on in the daemon; only `guavagate.measure` switches one off.

    Parameters
    ----------
    conditional
        A record is replaced only if it is still the one that was read.
    durable_first
        An answer waits until the store has taken its entry.
    settle
        A write whose answer was lost is tried again until it is known what
        became of it.
    discard
        An instance that another has gone on from forgets what it had applied.
    deduplicate
        A repeated command is applied once.
    """

    conditional: bool = True
    durable_first: bool = True
    settle: bool = True
    discard: bool = True
    deduplicate: bool = True
