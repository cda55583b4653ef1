"""Works on the jobs that this instance owns."""

from collections.abc import Callable
from typing import Final

from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.helpers.waits import wait_for
from guavagate.jobs._loader import JobLoader
from guavagate.jobs._messages import LookupStatus
from guavagate.jobs._models import (
    ItemId,
    Job,
    JobId,
    Page,
    Result,
    ResultState,
)
from guavagate.jobs._residency import JobRegions
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.records import (
    ActiveJobs,
    AnnouncedJobs,
    JobStore,
    remove_expired_jobs,
)
from guavagate.jobs.scheduling import (
    Dispatcher,
    RewardDispatcher,
)
from guavagate.jobs.texts import (
    STALL_SECONDS,
    ItemRunner,
    TextBackups,
    TextCheckpoints,
    TextReplicas,
    TextSnapshots,
)
from guavagate.metrics import Metrics, names
from guavagate.models import InstanceId, ServiceId, TeamId
from guavagate.ports.rewards import RewardClient
from guavagate.ports.sampler import SamplerClient
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine import Quarantine
from guavagate.residency import JobBounds, UnboundJobs
from guavagate.rollouts import ModelDemand, SamplerStates
from guavagate.routing import UpstreamTable
from guavagate.util.boot_clock import read_boot_clock
from guavagate.warmup import ServiceStarts

# Changes wake the owner; this interval finds items that may be retried.
DISPATCH_INTERVAL_SECONDS: Final = 0.1
# The owner runs ten times a second. Other members consider an instance dead
# after more than a second, so a shorter freeze makes no other instance owner.
MIN_FREEZE_SECONDS: Final = 0.8
# Listing and reading the jobs usually takes a tenth of this. If the store is
# slow, an owner begins with the jobs it has.
MAX_TAKEOVER_SECONDS: Final = 0.6
# An item expires late rather than early.
TTL_SLACK_SECONDS: Final = 1.0
_ANY_TEAM: Final = TeamId('')


class JobOwner:
    """Runs the items of one service's jobs, and commits their results."""

    def __init__(
        self,
        service: ServiceId,
        clock: Clock,
        job_store: JobStore,
        upstreams: UpstreamTable,
        states: SamplerStates,
        client: SamplerClient,
        rewards: RewardClient,
        quarantine: Quarantine,
        slots: Callable[[], int],
        metrics: Metrics,
        retention: float,
        replicas: TextReplicas,
        snapshots: TextSnapshots,
        list_holders: Callable[[], list[InstanceId]],
        announced: AnnouncedJobs,
        boot_clock: Callable[[], float] = read_boot_clock,
        cache_tokens: Callable[[], int] = int,
        starts: ServiceStarts | None = None,
        bounds: JobBounds | None = None,
    ) -> None:
        self._starts = starts
        self._regions = JobRegions(bounds or UnboundJobs(), upstreams, metrics)
        self._boot_clock = boot_clock
        self._service = service
        self._clock = clock
        self._job_store = job_store
        self._upstreams = upstreams
        self._states = states
        self._metrics = metrics
        self._retention = retention
        self._wake = Event()
        self._started_at = clock.now()
        self._taken_over = False
        self._rewards = RewardDispatcher(
            clock, rewards, metrics, self._finish, self._wake.set
        )
        runner = ItemRunner(
            clock,
            client,
            upstreams,
            states,
            quarantine,
            self._finish,
            self._on_text_complete,
            lambda: starts is not None and starts.applies(),
            job_store.max_text_bytes,
        )
        self._dispatcher = Dispatcher(
            service,
            clock,
            upstreams,
            states,
            client,
            runner,
            slots,
            metrics,
            cache_tokens,
            starts,
        )
        self._checkpoints = TextCheckpoints(job_store.object_store, clock)
        self._active_jobs = ActiveJobs(
            service,
            clock,
            job_store,
            metrics,
            self._on_job_loaded,
            self._finish,
            self._checkpoints.load,
            lambda work: self._backups.restore(work),
        )
        self._backups = TextBackups(
            service,
            clock,
            replicas,
            snapshots,
            self._checkpoints,
            self._active_jobs.list_open,
            list_holders,
            self._handle_return,
            self._regions.may_send,
        )
        self._tasks: list[Task] = []
        self._loader = JobLoader(
            service,
            clock,
            job_store.object_store,
            self._active_jobs,
            announced,
            self._regions,
            retention,
            lambda: self.active,
        )
        states.subscribe(self._wake.set)
        upstreams.subscribe_restarts(self._cancel_stale_runs)

    @property
    def active(self) -> bool:
        """Return whether this instance owns the service's jobs."""
        return bool(self._tasks)

    def start(self) -> None:
        """Take the service's jobs over."""
        if not self._tasks:
            if self._starts is not None:
                self._starts.record_work(working=True)
            self._active_jobs.owning = True
            self._backups.start()
            self._started_at = self._clock.now()
            self._taken_over = False
            self._loader.start()
            self._tasks = [
                self._clock.spawn(self._run),
                self._clock.spawn(
                    remove_expired_jobs,
                    self._job_store.object_store,
                    self._clock,
                    self._active_jobs,
                    self._retention,
                ),
            ]

    def stop(self, next_owner: InstanceId | None = None) -> None:
        """Release the service's jobs, and send their texts to another owner."""
        if not self._tasks:
            return
        if next_owner is not None:
            self._regions.update(self._active_jobs.list_open())
            self._backups.hand_over(next_owner)
        self._backups.stop()
        if self._starts is not None:
            self._starts.record_work(working=False)
        for task in self._tasks:
            task.kill(block=False)
        self._tasks = []
        self._loader.stop()
        self._active_jobs.clear()
        self._regions.clear()

    def apply_regions(self) -> None:
        """Apply the regions of the configuration in force to all jobs."""
        self._regions.update(self._active_jobs.list_open())
        self._loader.release_excluded()
        self._loader.reload_excluded()

    def mark_uncertain(self) -> None:
        """Record that another instance may have worked on the jobs."""
        self._active_jobs.mark_uncertain()

    def count_open_jobs(self) -> int | None:
        """Return the number of open jobs, or `None` before all are loaded."""
        if not self.active or not self._loader.is_complete:
            return None
        return len(self._active_jobs.list_open())

    def collect_demands(self) -> dict[str, ModelDemand]:
        """Return the demand of open and expected jobs on each model."""
        demands = self._active_jobs.collect_demands()
        self._regions.bind_demands(demands, self._active_jobs.list_open())
        return demands

    def count_open(self) -> dict[str, int]:
        """Return the number of unfinished items by model."""
        counts: dict[str, int] = {}
        for work in self._active_jobs.list_open():
            unfinished = sum(not each.done for each in work.items.values())
            counts[work.job.model] = counts.get(work.job.model, 0) + unfinished
        return counts

    def read(
        self, job: JobId, after: int, wait: float, team: TeamId = _ANY_TEAM
    ) -> tuple[LookupStatus, Page | None]:
        """Return results from a position on, waiting until there are any."""
        if job in self._regions:
            return LookupStatus.UNCERTAIN, None
        return self._active_jobs.read(job, after, wait, team)

    def read_item(
        self, job: JobId, item: ItemId, team: TeamId = _ANY_TEAM
    ) -> tuple[LookupStatus, bytes]:
        """Return an item's body."""
        if job in self._regions:
            return LookupStatus.UNCERTAIN, b''
        return self._active_jobs.read_item(job, item, team)

    def _handle_return(self) -> None:
        """Continue jobs that another instance worked on meanwhile."""
        if self.active:
            self._active_jobs.mark_uncertain()
            self._wake.set()

    def _on_text_complete(self, work: JobWork, progress: ItemProgress) -> None:
        self._dispatcher.record_text(work, progress)
        self._rewards.handle_complete_text(work, progress)

    def _on_job_loaded(self, job: Job) -> None:
        amount = sum(max(each.expected_tokens, 1) for each in job.items)
        self._states.record_workload(job.model, amount, len(job.items))
        self._regions.record_job(job)
        active = self._active_jobs.get(job.id)
        if active is not None:
            self._dispatcher.record_results(active.work)
        self._wake.set()

    def _run(self) -> None:
        last_run_at = self._boot_clock()
        while True:
            previous_run_at, last_run_at = last_run_at, self._boot_clock()
            if last_run_at - previous_run_at > MIN_FREEZE_SECONDS:
                self._active_jobs.mark_uncertain()
            self._dispatch()
            self._wake.clear()
            wait_for(self._clock, self._wake, DISPATCH_INTERVAL_SECONDS)

    def _has_taken_over(self, now: float) -> bool:
        """Return whether all jobs of the former owner are loaded.

        Otherwise the jobs that load first would take every slot, and the oldest
        steps, which are nearly complete, would wait for them.
        """
        if now - self._started_at > MAX_TAKEOVER_SECONDS:
            return True
        return self._loader.is_complete

    def _dispatch(self) -> None:
        now = self._clock.now()
        self._taken_over = self._taken_over or self._has_taken_over(now)
        if not self._taken_over:
            return
        works = self._active_jobs.list_open()
        self._regions.update(works)
        self._metrics.set_gauge(names.OPEN_JOBS, len(works))
        if not works:
            return
        self._backups.adopt(works)
        for work in works:
            self._fail_expired_items(work, now)
        self._dispatcher.dispatch(works, now)
        self._rewards.dispatch(works, now)

    def _cancel_stale_runs(self, upstream: Upstream) -> None:
        """Cancel runs at a sampler that restarted, so that others resume them.

        Behind a network partition their streams would stall until the time
        limit. A run with a recent event belongs to the new process: it started
        before the restart was observed.
        """
        now = self._clock.now()
        for work in self._active_jobs.list_open():
            for progress in work.items.values():
                runs_there = progress.sampler == upstream.id
                if runs_there and now - progress.last_event_at > STALL_SECONDS:
                    progress.cancel()

    def _fail_expired_items(self, work: JobWork, now: float) -> None:
        # Measured from the load, not from the submission: clocks of instances
        # may differ by seconds, and an item must not expire too early.
        if now - work.acquired_at < work.job.item_ttl + TTL_SLACK_SECONDS:
            return
        for progress in work.items.values():
            if not progress.done:
                result = Result(progress.item.id, ResultState.ERRORED, '', [])
                self._finish(work, result)

    def _finish(self, work: JobWork, result: Result) -> None:
        """Record an item's result; readers see it once it is durable."""
        active = self._active_jobs.get(work.job.id)
        if active is None or active.work is not work or work.ended:
            return
        progress = work.items[result.id]
        seconds = float(0)
        if progress.started_at is not None:
            seconds = self._clock.now() - progress.started_at
            self._metrics.observe(names.ITEM_SECONDS, seconds)
        urgent = work.add_result(result)
        active.log_result(result, seconds)
        active.committer.commit_pending(urgent=urgent or not work.open)
