"""Drives the runs whose partitions this instance decides.

Keeps a window of samples with workers, by the runs' weights, and assigns anew
what a lost worker held. Nothing here is replicated: a sample that is made
twice is entered once, so a takeover costs at most some generation.
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
# While no run is decided here; twenty wake-ups a second for nothing were a
# quarter of an instance's processor time at rest.
IDLE_SECONDS: Final = 0.5
# Samples handed to workers for each slot of the deployment. One would leave a
# slot idle while the next sample travels; many would wait in the pool's queue
# on the versions of the moment they were assigned, and grow stale there.
WINDOW_PER_SLOT: Final = 1.5
# A worker may hold this much more than the mean before the next one in the
# sample's order takes it.
LOAD_BOUND: Final = 1.25
# A failed sample waits this long, doubled for each failure, before it is
# assigned anew, so that a pool without samplers is not asked in a circle.
RETRY_PAUSE: Final = 0.2
MAX_RETRY_PAUSE: Final = 5.0

# Assignments of samples that were committed or moved away are forgotten at
# this pace; those that ended here are forgotten at once.
CLEAN_SECONDS: Final = 2.0
# Share of a new measurement in the mean time of a sample.
SMOOTHING: Final = 0.1

# Verdicts after which a sample is no longer pending.
SETTLED: Final = frozenset(
    (Verdict.ACCEPTED, Verdict.DUPLICATE, Verdict.UNKNOWN_STEP)
)

HostedStates = Callable[[], Iterable[tuple[Epoch, RunsState]]]
_Key = tuple[DeploymentId, RunId, SampleId]


class Assignment(msgspec.Struct, kw_only=True):
    """A sample that a worker holds, or that waits to be assigned anew."""

    worker: InstanceId | None
    attempt: int
    since: float
    not_before: float = 0


class RunDriver:
    """Assigns pending samples to workers."""

    def __init__(self, runtime: Runtime, hosted: HostedStates) -> None:
        self._runtime = runtime
        self._hosted = hosted
        self._assigned: dict[_Key, Assignment] = {}
        self._seconds: dict[DeploymentId, float] = {}
        self._cleans_at = float('-inf')
        runtime.bus.register(SampleEnded, self._on_ended)

    def start(self) -> None:
        """Assign until the instance stops."""
        self._runtime.clock.spawn(self._run)

    def mean_sample_seconds(self, lineage: DeploymentId) -> float | None:
        """Return the mean time that a sample takes, once one is measured."""
        return self._seconds.get(lineage)

    def tick(self) -> None:
        """Assign what the windows allow."""
        self._release_lost()
        now = self._runtime.clock.now()
        if now >= self._cleans_at:
            self._cleans_at = now + CLEAN_SECONDS
            self._forget_settled()
        for _, state in self._hosted():
            for lineage in list(state.lineages):
                found = find_deployment(self._runtime, lineage)
                if (
                    found is not None
                    and state.find_newest_version(lineage) is not None
                ):
                    self._assign(lineage, found, state)

    def _forget_settled(self) -> None:
        """Forget samples that are no longer pending, or not decided here."""
        pending: set[_Key] = set()
        for _, state in self._hosted():
            for lineage in state.lineages:
                for run, samples in state.list_pending_by_run(lineage).items():
                    pending.update((lineage, run, name) for name in samples)
        for key in [key for key in self._assigned if key not in pending]:
            self._assigned.pop(key)

    def _run(self) -> None:
        while True:
            busy = any(state.lineages for _, state in self._hosted())
            self._runtime.clock.sleep(
                TICK_SECONDS if busy or self._assigned else IDLE_SECONDS
            )
            self.tick()

    def _assign(
        self,
        lineage: DeploymentId,
        deployment: DeploymentSettings,
        state: RunsState,
    ) -> None:
        by_run = state.list_pending_by_run(lineage)
        counts = self._count_by_run(lineage)
        slots = sum(sampler.slots for sampler in deployment.samplers)
        free = int(slots * WINDOW_PER_SLOT) - sum(counts.values())
        if free <= 0 or all(
            counts.get(run, 0) >= len(samples)
            for run, samples in by_run.items()
        ):
            return
        queues = {
            run: self._iterate_unassigned(lineage, run, samples)
            for run, samples in by_run.items()
        }
        weights = {run.id: run.weight for run in deployment.runs}
        while free > 0 and queues:
            run = _least_served(list(queues), counts, weights)
            sample = next(queues[run], None)
            if sample is None:
                queues.pop(run)
                continue
            counts[run] = counts.get(run, 0) + 1
            free -= 1
            self._hand_over(lineage, state, run, sample, weights.get(run, 1))

    def _iterate_unassigned(
        self,
        lineage: DeploymentId,
        run: RunId,
        samples: dict[SampleId, PendingSample],
    ) -> Iterator[PendingSample]:
        now = self._runtime.clock.now()
        for sample in list(samples.values()):
            held = self._assigned.get((lineage, run, sample.sample_id))
            if held is None or (not held.worker and held.not_before <= now):
                yield sample

    def _hand_over(
        self,
        lineage: DeploymentId,
        state: RunsState,
        run: RunId,
        sample: PendingSample,
        weight: float,
    ) -> None:
        key = (lineage, run, sample.sample_id)
        before = self._assigned.get(key)
        attempt = before.attempt + 1 if before else 0
        worker = self._choose_worker(f'{run}/{sample.sample_id}', attempt)
        if worker is None:
            return
        self._assigned[key] = Assignment(
            worker=worker, attempt=attempt, since=self._runtime.clock.now()
        )
        team, _, deployment = lineage.partition('/')
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
                    state, lineage, sample.max_staleness
                ),
                weight=weight,
            ),
        )

    def _choose_worker(self, subject: str, attempt: int) -> InstanceId | None:
        """Return the worker of a sample.

        The same sample goes to the same worker after a takeover, which then
        finds it in work and does not start it twice.
        """
        alive = [peer.id for peer in self._runtime.members.alive()]
        loads = dict.fromkeys(alive, 0)
        for held in self._assigned.values():
            if held.worker in loads:
                loads[held.worker] += 1
        bound = LOAD_BOUND * (sum(loads.values()) + 1) / max(len(alive), 1)
        within = [name for name in alive if loads[name] < max(bound, 1)]
        ranked = rank(subject, within)
        return ranked[attempt % len(ranked)] if ranked else None

    def _count_by_run(self, lineage: DeploymentId) -> dict[RunId, int]:
        counts: dict[RunId, int] = {}
        for (of, run, _), held in self._assigned.items():
            if of == lineage and held.worker:
                counts[run] = counts.get(run, 0) + 1
        return counts

    def _release_lost(self) -> None:
        # A leaving worker is still there and finishes what it holds.
        lost = {
            worker
            for worker in {held.worker for held in self._assigned.values()}
            if worker and self._runtime.members.get(worker) is None
        }
        for (_, run, sample), held in self._assigned.items():
            if held.worker in lost:
                write(
                    _LOGGER,
                    WORKER_LOST,
                    worker=held.worker,
                    run=run,
                    sample=sample,
                )
                held.worker = None

    def _on_ended(self, sender: InstanceId, message: Message) -> None:
        ended = expect(message, SampleEnded)
        held = self._assigned.get((ended.lineage, ended.run, ended.sample_id))
        if held is None or held.attempt != ended.attempt:
            return
        held.worker = None
        if ended.verdict in SETTLED:
            self._assigned.pop(
                (ended.lineage, ended.run, ended.sample_id), None
            )
        if ended.verdict is Verdict.ACCEPTED:
            took = self._runtime.clock.now() - held.since
            before = self._seconds.get(ended.lineage, took)
            self._seconds[ended.lineage] = before + SMOOTHING * (took - before)
        if ended.verdict in {None, Verdict.STALE}:
            pause = RETRY_PAUSE * 2 ** min(held.attempt, 5)
            held.not_before = self._runtime.clock.now() + min(
                pause, MAX_RETRY_PAUSE
            )


def _least_served(
    waiting: list[RunId],
    counts: dict[RunId, int],
    weights: dict[RunId, float],
) -> RunId:
    """Return the run that has the least samples in work for its weight."""
    return min(
        waiting,
        key=lambda name: counts.get(name, 0) / weights.get(name, 1),
    )


def find_deployment(
    runtime: Runtime, lineage: DeploymentId
) -> DeploymentSettings | None:
    """Return the settings in force of a deployment named over all teams."""
    team_id, _, name = lineage.partition('/')
    team = runtime.teams.get(TeamId(team_id))
    for deployment in team.deployments if team else ():
        if deployment.id == name:
            return deployment
    return None


def find_oldest_fresh_version(
    state: RunsState, lineage: DeploymentId, bound: int
) -> WeightVersion | None:
    """Return the oldest version whose samples are still within a bound."""
    published = state.lineages[lineage].published
    if not published:
        return None
    return published[max(len(published) - 1 - bound, 0)]
