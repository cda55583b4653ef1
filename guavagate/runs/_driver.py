"""Assigns the pending samples of runs to workers.

Runs on the primary of each run's partition. It keeps a limited number of
samples assigned, shared among runs by their weights, and reassigns the samples
of a lost worker. Assignments are not replicated: a sample that is generated
twice is recorded once, so a takeover wastes at most some generation.
"""

import logging
from collections.abc import Callable, Iterable, Iterator
from typing import Final

import msgspec

from guavagate.events import write
from guavagate.events.runs import SAMPLE_ASSIGNED, WORKER_LOST
from guavagate.links import Message, expect
from guavagate.models import (
    DeploymentId,
    Epoch,
    InstanceId,
    RunId,
    SampleId,
    TeamId,
    WeightVersion,
)
from guavagate.runs._commands import Verdict
from guavagate.runs._messages import GenerateSample, SampleEnded
from guavagate.runs._state import RunsState
from guavagate.runs._step import PendingSample
from guavagate.runtime import Runtime
from guavagate.settings import DeploymentSettings
from guavagate.util.rendezvous import rank

_LOGGER = logging.getLogger(__name__)

TICK_SECONDS: Final = 0.05
# Tick interval while this instance is primary of no run. Waking up 20 times a
# second would take a quarter of an idle instance's processor time.
IDLE_TICK_SECONDS: Final = 0.5
# Samples assigned to workers for each slot of the deployment. With 1, a slot is
# idle while the next sample is on its way. With many, samples wait in the
# pool's queue with the version bound of their assignment and become stale.
SAMPLES_PER_SLOT: Final = 1.5
# Maximum load of a worker relative to the mean; above it, a sample goes to the
# next worker of its ranking.
MAX_RELATIVE_LOAD: Final = 1.25
# Delay before a failed sample is reassigned, doubled for each failure, so that
# requests to a pool without samplers don't repeat in a tight loop.
RETRY_DELAY_SECONDS: Final = 0.2
MAX_RETRY_DELAY_SECONDS: Final = 5.0

# Interval of removing assignments whose samples were committed or whose
# partition has moved; those that end here are removed immediately.
CLEANUP_INTERVAL_SECONDS: Final = 2.0
# Weight of a new measurement in the moving average of sample durations.
SMOOTHING_FACTOR: Final = 0.1

# Verdicts after which a sample is no longer pending.
FINAL_VERDICTS: Final = frozenset(
    (Verdict.ACCEPTED, Verdict.DUPLICATE, Verdict.UNKNOWN_STEP)
)

# Returns the states of the partitions led here, with their epochs.
HostedStates = Callable[[], Iterable[tuple[Epoch, RunsState]]]
_SampleKey = tuple[DeploymentId, RunId, SampleId]


class Assignment(msgspec.Struct, kw_only=True):
    """A sample assigned to a worker, or waiting for reassignment."""

    worker: InstanceId | None
    attempt: int
    assigned_at: float
    not_before: float = 0


class RunDriver:
    """Assigns pending samples to workers."""

    def __init__(self, runtime: Runtime, hosted: HostedStates) -> None:
        self._runtime = runtime
        self._hosted = hosted
        self._assignments: dict[_SampleKey, Assignment] = {}
        self._mean_seconds: dict[DeploymentId, float] = {}
        self._next_cleanup_at = float('-inf')
        runtime.bus.register(SampleEnded, self._on_ended)

    def start(self) -> None:
        """Assign samples until the instance stops."""
        self._runtime.clock.spawn(self._run)

    def mean_sample_seconds(self, deployment_key: DeploymentId) -> float | None:
        """Return the mean duration of a sample, if one has been measured."""
        return self._mean_seconds.get(deployment_key)

    def tick(self) -> None:
        """Unassign lost workers' samples, and assign pending ones."""
        self._unassign_lost_workers()
        now = self._runtime.clock.now()
        if now >= self._next_cleanup_at:
            self._next_cleanup_at = now + CLEANUP_INTERVAL_SECONDS
            self._remove_not_pending()
        for _, state in self._hosted():
            for deployment_key in list(state.lineages):
                deployment = find_deployment(self._runtime, deployment_key)
                if (
                    deployment is not None
                    and state.find_newest_version(deployment_key) is not None
                ):
                    self._assign_pending(deployment_key, deployment, state)

    def _remove_not_pending(self) -> None:
        """Remove assignments whose samples are not pending on this primary."""
        pending: set[_SampleKey] = set()
        for _, state in self._hosted():
            for deployment_key in state.lineages:
                for run, samples in state.list_pending_by_run(
                    deployment_key
                ).items():
                    pending.update(
                        (deployment_key, run, name) for name in samples
                    )
        for key in [key for key in self._assignments if key not in pending]:
            self._assignments.pop(key)

    def _run(self) -> None:
        while True:
            busy = any(state.lineages for _, state in self._hosted())
            self._runtime.clock.sleep(
                TICK_SECONDS if busy or self._assignments else IDLE_TICK_SECONDS
            )
            self.tick()

    def _assign_pending(
        self,
        deployment_key: DeploymentId,
        deployment: DeploymentSettings,
        state: RunsState,
    ) -> None:
        by_run = state.list_pending_by_run(deployment_key)
        counts = self._count_assigned(deployment_key)
        slots = sum(sampler.slots for sampler in deployment.samplers)
        free = int(slots * SAMPLES_PER_SLOT) - sum(counts.values())
        if free <= 0 or all(
            counts.get(run, 0) >= len(samples)
            for run, samples in by_run.items()
        ):
            return
        queues = {
            run: self._iterate_unassigned(deployment_key, run, samples)
            for run, samples in by_run.items()
        }
        weights = {run.id: run.weight for run in deployment.runs}
        while free > 0 and queues:
            run = _find_least_served(list(queues), counts, weights)
            sample = next(queues[run], None)
            if sample is None:
                queues.pop(run)
                continue
            counts[run] = counts.get(run, 0) + 1
            free -= 1
            self._assign_sample(
                deployment_key, state, run, sample, weights.get(run, 1)
            )

    def _iterate_unassigned(
        self,
        deployment_key: DeploymentId,
        run: RunId,
        samples: dict[SampleId, PendingSample],
    ) -> Iterator[PendingSample]:
        now = self._runtime.clock.now()
        for sample in list(samples.values()):
            assignment = self._assignments.get(
                (deployment_key, run, sample.sample_id)
            )
            if assignment is None or (
                not assignment.worker and assignment.not_before <= now
            ):
                yield sample

    def _assign_sample(
        self,
        deployment_key: DeploymentId,
        state: RunsState,
        run: RunId,
        sample: PendingSample,
        weight: float,
    ) -> None:
        key = (deployment_key, run, sample.sample_id)
        previous = self._assignments.get(key)
        attempt = previous.attempt + 1 if previous else 0
        worker = self._choose_worker(f'{run}/{sample.sample_id}', attempt)
        if worker is None:
            return
        self._assignments[key] = Assignment(
            worker=worker,
            attempt=attempt,
            assigned_at=self._runtime.clock.now(),
        )
        team, _, deployment = deployment_key.partition('/')
        write(
            _LOGGER,
            SAMPLE_ASSIGNED,
            run=run,
            sample=sample.sample_id,
            worker=worker,
            attempt=attempt,
            reason='first by rendezvous hash within the load bound',
        )
        self._runtime.bus.send(
            worker,
            GenerateSample(
                team=TeamId(team),
                deployment=DeploymentId(deployment),
                run=run,
                step_id=sample.step_id,
                step_order=int(sample.submitted_at),
                sample_id=sample.sample_id,
                attempt=attempt,
                group=sample.group,
                oldest=find_oldest_fresh_version(
                    state, deployment_key, sample.max_staleness
                ),
                weight=weight,
            ),
        )

    def _choose_worker(self, subject: str, attempt: int) -> InstanceId | None:
        """Return the worker for an attempt at a sample.

        Rendezvous hashing selects the same worker again after a takeover; that
        worker is already generating the sample and doesn't start it twice.
        """
        alive = [peer.id for peer in self._runtime.members.alive()]
        loads = dict.fromkeys(alive, 0)
        for assignment in self._assignments.values():
            if assignment.worker in loads:
                loads[assignment.worker] += 1
        max_load = (
            MAX_RELATIVE_LOAD * (sum(loads.values()) + 1) / max(len(alive), 1)
        )
        candidates = [name for name in alive if loads[name] < max(max_load, 1)]
        ranked = rank(subject, candidates)
        return ranked[attempt % len(ranked)] if ranked else None

    def _count_assigned(self, deployment_key: DeploymentId) -> dict[RunId, int]:
        counts: dict[RunId, int] = {}
        for (key, run, _), assignment in self._assignments.items():
            if key == deployment_key and assignment.worker:
                counts[run] = counts.get(run, 0) + 1
        return counts

    def _unassign_lost_workers(self) -> None:
        """Unassign the samples of workers that are no longer members.

        A leaving worker is still a member and finishes its samples.
        """
        lost = {
            worker
            for worker in {
                assignment.worker for assignment in self._assignments.values()
            }
            if worker and self._runtime.members.get(worker) is None
        }
        for (_, run, sample), assignment in self._assignments.items():
            if assignment.worker in lost:
                write(
                    _LOGGER,
                    WORKER_LOST,
                    worker=assignment.worker,
                    run=run,
                    sample=sample,
                )
                assignment.worker = None

    def _on_ended(self, sender: InstanceId, message: Message) -> None:
        ended = expect(message, SampleEnded)
        assignment = self._assignments.get(
            (ended.lineage, ended.run, ended.sample_id)
        )
        if assignment is None or assignment.attempt != ended.attempt:
            return
        assignment.worker = None
        if ended.verdict in FINAL_VERDICTS:
            self._assignments.pop(
                (ended.lineage, ended.run, ended.sample_id), None
            )
        if ended.verdict is Verdict.ACCEPTED:
            seconds = self._runtime.clock.now() - assignment.assigned_at
            previous = self._mean_seconds.get(ended.lineage, seconds)
            self._mean_seconds[ended.lineage] = previous + SMOOTHING_FACTOR * (
                seconds - previous
            )
        if ended.verdict in {None, Verdict.STALE}:
            delay = RETRY_DELAY_SECONDS * 2 ** min(assignment.attempt, 5)
            assignment.not_before = self._runtime.clock.now() + min(
                delay, MAX_RETRY_DELAY_SECONDS
            )


def _find_least_served(
    waiting: list[RunId],
    counts: dict[RunId, int],
    weights: dict[RunId, float],
) -> RunId:
    """Return the run with the fewest assigned samples for its weight."""
    return min(
        waiting,
        key=lambda name: counts.get(name, 0) / weights.get(name, 1),
    )


def find_deployment(
    runtime: Runtime, deployment_key: DeploymentId
) -> DeploymentSettings | None:
    """Return the current settings of the deployment TEAM/DEPLOYMENT."""
    team_id, _, name = deployment_key.partition('/')
    team = runtime.teams.get(TeamId(team_id))
    for deployment in team.deployments if team else ():
        if deployment.id == name:
            return deployment
    return None


def find_oldest_fresh_version(
    state: RunsState, deployment_key: DeploymentId, max_staleness: int
) -> WeightVersion | None:
    """Return the oldest version within a staleness bound."""
    published = state.lineages[deployment_key].published
    if not published:
        return None
    return published[max(len(published) - 1 - max_staleness, 0)]
