"""Chooses which instance of a zone caches the results of a job."""

from collections.abc import Sequence

from guavagate.jobs._models import JobId
from guavagate.models import InstanceId
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
