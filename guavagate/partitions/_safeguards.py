"""Switches that measurements use to show what each safeguard is for."""

import msgspec


class Safeguards(msgspec.Struct, frozen=True, kw_only=True):
    """All are on in the daemon; only `guavagate.measure` switches one off.

    Parameters
    ----------
    fence
        Replicas refuse epochs below the one they promised.
    majority
        An answer waits until a majority holds its entry.
    most_complete
        A takeover chooses the sealed member that holds the most.
    enough_sealed
        A takeover seals so many members that every majority is met.
    deduplicate
        A repeated command is applied once.
    read_back
        A view whose write's answer was lost is settled by reading back.
    conditional
        Views change by conditional update only.
    boot_ids
        A restarted instance is not taken for the member that it was.
    joint
        While a view is being changed, both views' majorities count.
    mark_lost
        A view without its copies makes old keys' outcomes unknown.
    """

    fence: bool = True
    majority: bool = True
    most_complete: bool = True
    enough_sealed: bool = True
    deduplicate: bool = True
    read_back: bool = True
    conditional: bool = True
    boot_ids: bool = True
    joint: bool = True
    mark_lost: bool = True
