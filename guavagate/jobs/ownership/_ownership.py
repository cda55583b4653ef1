"""Determines which instance owns a service's jobs, without messages."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from guavagate.jobs._models import JobId
from guavagate.jobs.ownership._zones import (
    choose_replica_holders,
    choose_zone_cache,
)
from guavagate.models import InstanceId, Regions, ServiceId
from guavagate.residency import find_no_regions
from guavagate.runtime import Members
from guavagate.settings import PeerSettings
from guavagate.util.rendezvous import weigh
from guavagate.util.uptime import (
    BootOf,
    find_start_bucket,
    ignore_boots,
    rank_by_uptime,
)

# Replicas of each text: at the next owner and, in case it fails together with
# this one, at the one after it.
REPLICA_COUNT: Final = 2


def prefer_workers(instances: Iterable[PeerSettings]) -> list[InstanceId]:
    """Return the instances without a callers' edge, or all if all have one."""
    listed = list(instances)
    without_edge = [each.id for each in listed if not each.http_address]
    return without_edge or [each.id for each in listed]


class Ownership:
    """The owner of each service's jobs, by uptime among the live members.

    Instances without a callers' edge rank first, as job work delays no callers
    there. Owner and successors are inside the regions of the service's jobs, or
    all in one region if none is alive inside. Membership views may differ for
    some seconds; chunk numbers and the lease for orders keep two owners from
    doing harm.

    After a restart of all instances, all have the same uptime. The former owner
    then continues: it held the lease for orders. Any other instance would have
    to wait until the lease expires, while steps wait for new weights.

    Attributes
    ----------
    me
        The id of this instance.
    ready
        Whether this instance may own jobs: its view of the members had time to
        converge, and it is not leaving.
    """

    def __init__(
        self,
        members: Members,
        me: InstanceId,
        boot_of: BootOf = ignore_boots,
        find_regions: Callable[[ServiceId], Regions] = find_no_regions,
    ) -> None:
        self._find_regions = find_regions
        self._members = members
        self._boot_of = boot_of
        self.me = me
        self._former_by_service: Mapping[ServiceId, InstanceId] = {}
        self.ready = False

    def set_former_owners(self, former: Mapping[ServiceId, InstanceId]) -> None:
        """Set who owned the services before this instance started."""
        self._former_by_service = former

    def find_owner(self, service: ServiceId) -> InstanceId | None:
        """Return the owner, or None while no instance is known."""
        ranked = self.rank_candidates(service)
        if not ranked:
            return None
        former = self._former_by_service.get(service)
        if former in ranked and self._started_together(former, ranked[0]):
            return former
        return ranked[0]

    def rank_candidates(self, service: ServiceId) -> list[InstanceId]:
        """Return the candidates for a service's jobs, first choice first."""
        duty = f'jobs of {service}'
        regions = self._find_regions(service)
        if regions is None:
            return self.rank_for_duty(duty)
        alive = self._members.alive()
        inside = [each for each in alive if each.region in regions]
        if not inside:
            # The first one refuses bound jobs; its successors have the same
            # regions, so that they hold no body that it may not hold.
            first = self.rank_for_duty(duty)[:1]
            region = [each.region for each in alive if each.id in first]
            inside = [each for each in alive if each.region in region]
        return rank_by_uptime(duty, prefer_workers(inside), self._boot_of)

    def list_in_turn(self, service: ServiceId) -> list[InstanceId]:
        """Return the owner, then its successors in the order of takeover."""
        owner = self.find_owner(service)
        if owner is None:
            return []
        ranked = self.rank_candidates(service)
        return [owner, *(each for each in ranked if each != owner)]

    def find_zone_cache(
        self, owner: InstanceId, job: JobId
    ) -> InstanceId | None:
        """Return the instance that caches an owner's job for this zone."""
        return choose_zone_cache(self._members.alive(), self.me, owner, job)

    def list_replica_holders(self, service: ServiceId) -> list[InstanceId]:
        """Return the successors that get replicas of this owner's texts."""
        ranked = self.rank_candidates(service)
        alive = self._members.alive()
        zone_of = {each.id: each.availability_zone for each in alive}
        return choose_replica_holders(
            [each for each in ranked if each != self.me],
            zone_of,
            zone_of.get(self.me),
            REPLICA_COUNT,
        )

    def list_witnesses(self, owner: InstanceId) -> list[InstanceId]:
        """Return others that can tell whether an owner is lost, best first.

        One of each zone comes first, and the own zone last: a zone that is cut
        off as a whole would agree that the owner is lost.
        """
        alive = self._members.alive()
        own_zone = [
            each.availability_zone for each in alive if each.id == self.me
        ]
        counts = Counter(own_zone)
        ordered = []
        shuffled = sorted(alive, key=lambda each: weigh(owner, each.id))
        for peer in shuffled:
            if peer.id not in {owner, self.me}:
                zone = peer.availability_zone
                ordered.append((counts[zone], peer.id))
                counts[zone] += 1
        return [witness for _, witness in sorted(ordered)]

    def rank_for_duty(self, duty: str) -> list[InstanceId]:
        """Return the candidates for a fleet-wide duty, first choice first."""
        return rank_by_uptime(duty, self._list_candidates(), self._boot_of)

    def is_among_longest_running(self) -> bool:
        """Return whether no candidate has run for longer than this instance."""
        own_bucket = find_start_bucket(self.me, self._boot_of)
        return all(
            find_start_bucket(each, self._boot_of) >= own_bucket
            for each in self._list_candidates()
        )

    def _list_candidates(self) -> list[InstanceId]:
        return prefer_workers(self._members.alive())

    def _started_together(self, *others: InstanceId) -> bool:
        buckets = {
            find_start_bucket(each, self._boot_of)
            for each in (self.me, *others)
        }
        return len(buckets) == 1

    def is_owner(self, service: ServiceId) -> bool:
        """Return whether this instance owns a service's jobs.

        False until the membership view had time to converge. When all instances
        start, each would otherwise consider itself the owner of everything.
        """
        return self.ready and self.find_owner(service) == self.me
