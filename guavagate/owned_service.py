"""The parts that work on one service with jobs, and their start and stop."""

import logging
from typing import Final

from guavagate.duties import Scaler
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.jobs import JobOwner
from guavagate.models import InstanceId, ServiceId
from guavagate.rollouts import Coordinator, SamplerStates
from guavagate.warmup import SoleProof

_LOGGER: Final = logging.getLogger(__name__)


class OwnedService:
    """The job owner, coordinator and scaler of one service.

    Attributes
    ----------
    coordinating
        Whether this instance may order samplers, not only work on the jobs.
    """

    def __init__(
        self,
        service: ServiceId,
        owner: JobOwner,
        coordinator: Coordinator,
        states: SamplerStates,
        scaler: Scaler | None,
        proof: SoleProof | None,
    ) -> None:
        self._proof = proof
        self._id = service
        self.coordinating = False
        self.owner = owner
        self.coordinator = coordinator
        self.states = states
        self.scaler = scaler

    def start(self) -> None:
        """Start working on the service's jobs and samplers."""
        if not self.coordinating:
            write(_LOGGER, events.COORDINATOR_STARTED, service=self._id)
        self.coordinating = True
        self.owner.start()
        self.owner.mark_uncertain()
        self.coordinator.start()
        if self._proof is not None:
            self._proof.start()
        if self.scaler is not None:
            self.scaler.start()

    def stand_in(self) -> None:
        """Start working on the jobs only; their owner may still be alive.

        The coordinator tracks the samplers, so that items can be placed.
        """
        self._stop_coordinating()
        self.owner.start()
        self.owner.mark_uncertain()
        self.coordinator.start(ordering=False)

    def stop(self, next_owner: InstanceId | None) -> None:
        """Stop, so that another instance can take the service over."""
        self._stop_coordinating()
        self.coordinator.stop()
        self.owner.stop(next_owner)

    def _stop_coordinating(self) -> None:
        if not self.coordinating:
            return
        write(_LOGGER, events.COORDINATOR_STOPPED, service=self._id)
        self.coordinating = False
        if self._proof is not None:
            self._proof.stop()
        if self.scaler is not None:
            self.scaler.stop()
        self.coordinator.stop()
