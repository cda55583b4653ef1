"""Switches that let measurements disable single safeguards."""

import msgspec


class Safeguards(msgspec.Struct, frozen=True, kw_only=True):
    """All are on in the daemon; only `guavagate.measure` switches one off.

    Parameters
    ----------
    conditional
        Replace a record only if it is unchanged since it was read.
    durable_first
        Reply to a command only after the store has accepted its entry.
    settle
        Retry a write whose response was lost until its result is known.
    discard
        Discard the local state when another instance takes over.
    deduplicate
        Apply a repeated command only once.
    """

    conditional: bool = True
    durable_first: bool = True
    settle: bool = True
    discard: bool = True
    deduplicate: bool = True
