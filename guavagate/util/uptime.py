"""Who of several instances takes a duty: one that has run for long.

Load pattern: the holder of a duty is killed and starts again a second later.
By rendezvous alone it would take the duty back at once, and what its stand-in
has begun in between would be lost a second time; a machine added later would
take over from one that works well. So those that started earlier go first, in
steps that are coarse enough for all that start together to be alike.
"""

from collections.abc import Callable, Iterable
from typing import Final

from guavagate.models import InstanceId
from guavagate.util.rendezvous import weigh

# Milliseconds. Instances of one start differ by less than a second and by
# their clocks; a restart comes later than that in nearly all cases.
START_BUCKET_MILLIS: Final = 8000

BootOf = Callable[[InstanceId], int | None]


def rank_by_uptime(
    key: str, instances: Iterable[InstanceId], boot_of: BootOf
) -> list[InstanceId]:
    """Return instances by how long they run, then by weight for a key.

    Parameters
    ----------
    boot_of
        Returns when an instance started, in milliseconds since 1970 by its
        own clock, as all members know it.
    """
    return sorted(
        instances,
        key=lambda each: (find_start_bucket(each, boot_of), -weigh(key, each)),
    )


def find_start_bucket(instance: InstanceId, boot_of: BootOf) -> int:
    """Return the step in which an instance started; lower is older."""
    return (boot_of(instance) or 0) // START_BUCKET_MILLIS


def ignore_boots(instance: InstanceId) -> int | None:
    """Take all instances for equally old."""
