"""Settings of a pool's policy, and the effect of disabled safeguards."""

import msgspec

from guavagate.decisions import admission
from guavagate.decisions._work import ALL_SAFEGUARDS, Safeguard
from guavagate.decisions.order import Order, order_by_stretch
from guavagate.decisions.placement import (
    Choose,
    choose_by_prefix,
    choose_least_connections,
    choose_unbounded,
)


class PoolSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a pool's policy; the defaults are used in production."""

    name: str = 'pool'
    safeguards: frozenset[Safeguard] = ALL_SAFEGUARDS
    order: Order = order_by_stretch()
    choose: Choose = choose_by_prefix
    max_queued: int = admission.MAX_QUEUED


def apply_safeguards(
    choose: Choose, safeguards: frozenset[Safeguard]
) -> Choose:
    """Replace the choice function if a safeguard it implements is disabled."""
    if choose is not choose_by_prefix:
        return choose
    if Safeguard.AFFINITY not in safeguards:
        return choose_least_connections
    if Safeguard.BOUNDED_LOAD not in safeguards:
        return choose_unbounded
    return choose
