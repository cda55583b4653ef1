"""Chooses instances by zone: for a cache of results, and for replicas."""

from collections.abc import Mapping, Sequence

from guavagate.jobs._models import JobId
from guavagate.models import InstanceId, ZoneId
from guavagate.settings import PeerSettings
from guavagate.util.rendezvous import weigh


def choose_zone_cache(
    alive: Sequence[PeerSettings],
    me: InstanceId,
    owner: InstanceId,
    job: JobId,
) -> InstanceId | None:
    """Return the instance that caches a job's results for the zone of `me`.

    None if the owner is in the same zone, where a cache saves nothing. None
    as well where instances are in several regions: a job may be bound to some
    of them, and its results then go to no further instance.

    Instances without a callers' edge come first, as they have more memory and
    faster links.
    """
    places = {each.id: each for each in alive}
    here, there = places.get(me), places.get(owner)
    if here is None or there is None:
        return None
    if here.availability_zone == there.availability_zone:
        return None
    if any(each.region != here.region for each in alive):
        return None
    near = [
        each
        for each in alive
        if each.availability_zone == here.availability_zone
    ]
    without_edge = [each.id for each in near if not each.http_address]
    candidates = without_edge or [each.id for each in near]
    return max(candidates, key=lambda each: weigh(job, each))


def choose_replica_holders(
    in_turn: Sequence[InstanceId],
    zone_of: Mapping[InstanceId, ZoneId],
    own_zone: ZoneId | None,
    count: int,
) -> list[InstanceId]:
    """Return which successors get replicas, those that take over first.

    One of them is in another zone if there is such a successor: the first
    that would take over if the own zone were lost. Otherwise they are the next
    ones in any zone. A replica within the own zone would cost less than one in
    a third zone, but the loss of two instances would then restart the texts.
    """
    holders = list(in_turn[:count])
    if not holders or any(zone_of.get(each) != own_zone for each in holders):
        return holders
    elsewhere = (each for each in in_turn if zone_of.get(each) != own_zone)
    return [*holders[:-1], next(elsewhere, holders[-1])]
