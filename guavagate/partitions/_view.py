"""Views: who holds a partition, and who may change that."""

from collections.abc import Iterable, Sequence
from typing import Final

import msgspec
import xxhash

from guavagate.const import DEFAULT_PARTITIONS, DEFAULT_REPLICAS
from guavagate.models import Epoch, InstanceId, PartitionId
from guavagate.settings import PeerSettings

PREFIX: Final = 'views/'


class Member(msgspec.Struct, frozen=True, order=True):
    """One process that holds a copy.

    The boot id tells a restarted instance, whose memory is empty, from the
    one that promised and held: without it the restarted one would join an
    old epoch again and make up the majority that a sealed primary lacks.
    """

    instance: InstanceId
    boot: str


class Position(msgspec.Struct, frozen=True, order=True):
    """How far a copy goes: the last epoch it followed, and its last entry.

    Two copies of one epoch hold the same entries up to the shorter one.
    """

    synced: Epoch = Epoch(0)
    seq: int = 0


class View(msgspec.Struct, frozen=True, kw_only=True):
    """Who holds a partition in one epoch; the first member is its primary.

    Parameters
    ----------
    change
        Unique; settles a write whose answer was lost.
    base
        What the primary must hold to serve: everything ever answered.
    lost_at
        Wall-clock seconds of the last time when copies with answered
        commands may have been lost.
    """

    partition: PartitionId
    epoch: Epoch
    members: tuple[Member, ...]
    change: str
    base: Position = Position()
    lost_at: float | None = None

    @property
    def primary(self) -> Member:
        """Return the one that decides."""
        return self.members[0]


def find_partition(key: str, count: int = DEFAULT_PARTITIONS) -> PartitionId:
    """Return the partition of a key."""
    return PartitionId(_hash(key) % count)


def path_of(partition: PartitionId) -> str:
    """Return the object that holds a partition's view."""
    return f'{PREFIX}{partition}'


def quorum(count: int) -> int:
    """Return how many of a view's members must hold an answered entry."""
    return count // 2 + 1


def seal_quorum(count: int) -> int:
    """Return how many sealed members meet every quorum."""
    return count - quorum(count) + 1


def rank(
    partition: PartitionId, instances: Iterable[InstanceId]
) -> list[InstanceId]:
    """Order instances for a partition by rendezvous hashing."""
    return sorted(
        instances,
        key=lambda one: _hash(f'{partition}/{one}'),
        reverse=True,
    )


def choose_instances(
    partition: PartitionId,
    alive: Sequence[PeerSettings],
    keep: Sequence[InstanceId] = (),
    replicas: int = DEFAULT_REPLICAS,
) -> list[InstanceId]:
    """Choose who should hold a partition, each in another zone if possible.

    Parameters
    ----------
    keep
        Taken first, in this order, as far as they are alive.
    """
    zones = {peer.id: peer.availability_zone for peer in alive}
    ranked = rank(partition, zones)
    order = [one for one in keep if one in zones]
    order.extend(one for one in ranked if one not in order)
    chosen: list[InstanceId] = []
    for one in order:
        if zones[one] not in {zones[other] for other in chosen}:
            chosen.append(one)
    chosen.extend(one for one in order if one not in chosen)
    return chosen[:replicas]


def _hash(text: str) -> int:
    """Hash a text alike at every instance and release."""
    return xxhash.xxh3_64_intdigest(text.encode())
