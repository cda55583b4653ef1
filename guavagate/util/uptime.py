"""Ranking of instances for a duty, longest-running first.

Failure pattern: the instance with a duty is killed and restarts a second later.
By rendezvous hashing alone it would take the duty back at once, and the work
that its standby has begun meanwhile would be lost as well. An instance that is
added later would also take over from one that works well. So instances that
started earlier rank first. Start times are grouped in buckets that are wide
enough for instances that start together to rank equally.
"""

from collections.abc import Callable, Iterable
from typing import Final

from guavagate.models import InstanceId
from guavagate.util.rendezvous import weigh

# Instances that start together differ by less than a second plus their clock
# offsets; a restart is later than that in nearly all cases.
START_BUCKET_MILLIS: Final = 8000

BootOf = Callable[[InstanceId], int | None]


def rank_by_uptime(
    key: str, instances: Iterable[InstanceId], boot_of: BootOf
) -> list[InstanceId]:
    """Return instances ordered by uptime, then by weight for a key.

    Parameters
    ----------
    boot_of
        Returns an instance's start in milliseconds since 1970 by its own
        clock; all members know the same value.
    """
    return sorted(
        instances,
        key=lambda each: (find_start_bucket(each, boot_of), -weigh(key, each)),
    )


def find_start_bucket(instance: InstanceId, boot_of: BootOf) -> int:
    """Return the bucket of an instance's start time; lower is earlier."""
    return (boot_of(instance) or 0) // START_BUCKET_MILLIS


def ignore_boots(instance: InstanceId) -> int | None:
    """Return None, so that all instances rank as started together."""
