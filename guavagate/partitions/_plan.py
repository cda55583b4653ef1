"""Who should hold a partition: decided from a view and those alive.

Answers instances that die, leave, join or are started again. Without it the
copies of a partition would dwindle to one, and all primaries end up at the
instances that have lived longest.
"""

from collections.abc import Sequence

import msgspec

from guavagate.models import InstanceId
from guavagate.partitions._view import View, choose_instances
from guavagate.settings import PeerSettings


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A change of view that its primary should make.

    Parameters
    ----------
    target
        The instances that should hold the partition, the primary first.
    repairs
        Whether copies are missing; a mere balancing move can wait.
    """

    target: tuple[InstanceId, ...]
    repairs: bool
    reason: str


def plan_change(
    view: View,
    candidates: Sequence[PeerSettings],
    restarted: Sequence[InstanceId] = (),
    *,
    outbid: bool = False,
) -> Plan | None:
    """Return the change that a view needs, if any.

    Parameters
    ----------
    candidates
        The instances that may hold partitions.
    restarted
        Members that have lost their memory.
    outbid
        Whether a member refuses the view's epoch.
    """
    up = {peer.id for peer in candidates}
    members = [member.instance for member in view.members]
    holding = [one for one in members if one in up and one not in restarted]
    if members[0] not in up:
        return None
    whole = tuple(choose_instances(view.partition, candidates, holding))
    if len(holding) < len(members):
        return Plan(target=whole, repairs=True, reason='a copy is gone')
    if set(whole) != set(members):
        return Plan(
            target=whole, repairs=True, reason='more copies or zones can be had'
        )
    if outbid:
        return Plan(
            target=whole, repairs=True, reason='a member promised a later epoch'
        )
    best = choose_instances(view.partition, candidates)[0]
    if best == members[0]:
        return None
    keep = [best, *holding]
    moved = choose_instances(view.partition, candidates, keep)
    return Plan(target=tuple(moved), repairs=False, reason='balance')
