"""Which instance works on the jobs of a service; found without asking."""

from collections.abc import Mapping

from guavagate.models import InstanceId, ServiceId
from guavagate.runtime import Members
from guavagate.util.seniority import (
    BootOf,
    find_age,
    forget_boots,
    rank_seniors,
)


class Ownership:
    """The owner of each service's jobs, by seniority among who is alive.

    Instances without a callers' edge go first: they have no callers to keep
    waiting. Views may differ for some seconds; the numbers of chunks and the
    lease for orders keep two owners from doing harm.

    After a restart of all, nobody is senior. Then the one that worked on a
    service before goes on with it: it held the lease for orders, and any other
    would have to wait that out, with steps waiting for new weights.
    """

    def __init__(
        self,
        members: Members,
        me: InstanceId,
        boot_of: BootOf = forget_boots,
    ) -> None:
        self._members = members
        self._boot_of = boot_of
        self._me = me
        self._former: Mapping[ServiceId, InstanceId] = {}
        self.ready = False

    def set_former_owners(self, former: Mapping[ServiceId, InstanceId]) -> None:
        """Take in who worked on the services before this instance started."""
        self._former = former

    def find_owner(self, service: ServiceId) -> InstanceId | None:
        """Return the owner, or nothing while no instance is known."""
        ranked = self.rank_candidates(service)
        if not ranked:
            return None
        former = self._former.get(service)
        if former in ranked and self._began_together(former, ranked[0]):
            return former
        return ranked[0]

    def rank_candidates(self, service: ServiceId) -> list[InstanceId]:
        """Return who may own a service's jobs, the first choice first."""
        return self.rank_for_duty(f'jobs of {service}')

    def rank_for_duty(self, duty: str) -> list[InstanceId]:
        """Return who may take a duty for all, the first choice first."""
        return rank_seniors(duty, self._list_candidates(), self._boot_of)

    def is_among_longest_running(self) -> bool:
        """Return whether nobody who may own jobs has run for longer."""
        mine = find_age(self._me, self._boot_of)
        return all(
            find_age(each, self._boot_of) >= mine
            for each in self._list_candidates()
        )

    def _list_candidates(self) -> list[InstanceId]:
        alive = self._members.alive()
        quiet = [each.id for each in alive if not each.http_address]
        return quiet or [each.id for each in alive]

    def _began_together(self, *others: InstanceId) -> bool:
        ages = {find_age(each, self._boot_of) for each in (self._me, *others)}
        return len(ages) == 1

    def is_owner(self, service: ServiceId) -> bool:
        """Return whether this instance works on a service's jobs.

        Not before this one had time to hear of the others: each would take
        itself for the owner of everything as they all start.
        """
        return self.ready and self.find_owner(service) == self._me
