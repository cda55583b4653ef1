"""Decides which share of the fleet's call rate an instance uses; pure.

Load pattern: one worker commits the results of all trainers, twenty writes a
second in a burst, while seventy entries write a few accepted jobs between them.
With equal shares of a rate that the platform grants to the fleet, the worker
gets a dozen calls a second, and results wait in its queue. The instances
without a callers' edge therefore share one half of the rate, and the entries
the other.
"""

from collections.abc import Sequence

from guavagate.settings import PeerSettings


def count_sharers(members: Sequence[PeerSettings], *, has_edge: bool) -> int:
    """Return by how many an instance has to divide the fleet's rate.

    Parameters
    ----------
    members
        All live instances, including this one.
    has_edge
        Whether this instance serves callers.
    """
    entries = sum(bool(each.http_address) for each in members)
    workers = len(members) - entries
    if not entries or not workers:
        return len(members)
    return 2 * (entries if has_edge else workers)
