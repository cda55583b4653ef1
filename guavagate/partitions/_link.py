"""What the tasks of one instance's partitions share."""

import dataclasses
import random
import uuid
from collections.abc import Callable
from typing import TypeVar

from guavagate.clock import Clock
from guavagate.exceptions import LinkError
from guavagate.links import Bus, Message
from guavagate.models import InstanceId
from guavagate.partitions._messages import (
    Append,
    Install,
    ReplicaReply,
    Seal,
)
from guavagate.partitions._safeguards import Safeguards
from guavagate.partitions._view import Member
from guavagate.settings import PeerSettings

_Reply = TypeVar('_Reply', bound=Message)


def make_id() -> str:
    """Return an id that no other call gives."""
    return uuid.uuid4().hex


@dataclasses.dataclass(frozen=True)
class Surroundings:
    """Clock, bus and members, without the rest of the runtime.

    Parameters
    ----------
    decide
        Records a decision, as `DecisionLog.record` does.
    make_id
        Gives unique ids; tests give ones that a seed replays.
    """

    me: Member
    clock: Clock
    bus: Bus
    alive: Callable[[], list[PeerSettings]]
    find: Callable[[InstanceId], PeerSettings | None]
    safeguards: Safeguards
    decide: Callable[[str, str, str, str, dict[str, str] | None], None]
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    make_id: Callable[[], str] = make_id

    def is_alive(self, instance: InstanceId) -> bool:
        """Say whether an instance is usable."""
        return self.find(instance) is not None

    def ask_replica(
        self,
        peer: InstanceId,
        message: Append | Install | Seal,
        timeout: float,
    ) -> ReplicaReply | None:
        """Return a replica's reply, or nothing when there is none."""
        try:
            return self.bus.request(peer, message, ReplicaReply, timeout)
        except LinkError:
            return None

    def jitter(self, low: float, high: float) -> float:
        """Return seconds between two bounds, different at each instance."""
        return self.rng.uniform(low, high)
