"""Simulates the memory of the load model's engines."""

import dataclasses
from collections.abc import Iterable
from typing import Final

from guavagate.jobs._models import GroupId, ItemId
from tests.jobs.load_parts import TOKENS_PER_EVENT


@dataclasses.dataclass(frozen=True)
class EngineProfile:
    """An engine's memory in tokens; 0 is no limit.

    `configured` is what the job owner assumes, and `prompt` the size of the
    prompt that the items of a group share.
    """

    capacity: int = 0
    configured: int = 0
    prompt: int = 0


UNLIMITED: Final = EngineProfile()


class SimulatedEngines:
    """Engines that preempt the newest texts while their memory is full."""

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.preemptions = 0
        self._preempted: set[ItemId] = set()

    def preempt(
        self, running: Iterable[tuple[int, GroupId, ItemId, float]]
    ) -> set[ItemId]:
        """Return the texts that make no progress now.

        Parameters
        ----------
        running
            Sampler, group, item and events of each text, the oldest first.
        """
        if not self.profile.capacity:
            return set()
        used: dict[int, float] = {}
        groups: set[tuple[int, GroupId]] = set()
        preempted = set()
        for sampler, group, item, events in running:
            need = events * TOKENS_PER_EVENT
            if (sampler, group) not in groups:
                need += self.profile.prompt
            total = used.get(sampler, 0) + need
            if total > self.profile.capacity and sampler in used:
                preempted.add(item)
                continue
            used[sampler] = total
            groups.add((sampler, group))
        self.preemptions += len(preempted - self._preempted)
        self._preempted = preempted
        return preempted
