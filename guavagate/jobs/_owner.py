"""Works on the jobs that this instance owns."""

import logging
from collections.abc import Callable
from typing import Final

from gevent.event import Event

from guavagate.clock import Clock, Task
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import StoreError
from guavagate.helpers.mirror import Mirror
from guavagate.helpers.waits import wait_for
from guavagate.jobs._active import ActiveJobs
from guavagate.jobs._dispatch import Dispatcher
from guavagate.jobs._expiry import is_expired, remove_job
from guavagate.jobs._messages import LookupStatus
from guavagate.jobs._models import (
    ENDS,
    JOBS,
    ItemId,
    Job,
    JobId,
    Page,
    Result,
    ResultState,
)
from guavagate.jobs._pace import STALL_SECONDS
from guavagate.jobs._replicas import REPLICATION_INTERVAL_SECONDS, TextReplicas
from guavagate.jobs._rewards import Rewards
from guavagate.jobs._runner import ItemRunner
from guavagate.jobs._snapshots import TextSnapshots
from guavagate.jobs._store import JobStore, decode_job
from guavagate.jobs._work import JobWork, Progress
from guavagate.metrics import Metrics, names
from guavagate.models import InstanceId, ServiceId, TeamId
from guavagate.ports.rewards import RewardClient
from guavagate.ports.sampler import SamplerClient
from guavagate.ports.store import StoredObject
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import ModelDemand, SamplerStates
from guavagate.routing import UpstreamTable
from guavagate.util.boot_clock import read_boot_clock

_LOGGER: Final = logging.getLogger(__name__)

# Changes wake the owner; this finds items that may be tried again.
IDLE_SECONDS: Final = 0.1
# The owner looks ten times a second. One that was frozen for less than this
# was not taken for dead, as that takes more than a second.
PAUSE_SECONDS: Final = 0.8
# Listing the jobs and reading each takes a tenth of this; with a store that is
# slow an owner begins with what it has.
TAKEOVER_SECONDS: Final = 0.6
# An item is given up late rather than early.
TTL_SLACK_SECONDS: Final = 1.0
EXPIRE_SECONDS: Final = 10.0
# How many instances keep a copy of each text: the next owner and, should it
# fail with this one, the one after it.
COPIES: Final = 2
_ANYBODY: Final = TeamId('')


class JobOwner:
    """Runs the items of one service's jobs, and lists their results."""

    def __init__(
        self,
        service: ServiceId,
        clock: Clock,
        job_store: JobStore,
        upstreams: UpstreamTable,
        states: SamplerStates,
        client: SamplerClient,
        rewards: RewardClient,
        slots: Callable[[], int],
        metrics: Metrics,
        retention: float,
        replicas: TextReplicas,
        snapshots: TextSnapshots,
        list_successors: Callable[[], list[InstanceId]],
        boot_clock: Callable[[], float] = read_boot_clock,
    ) -> None:
        self._boot_clock = boot_clock
        self._service = service
        self._clock = clock
        self._job_store = job_store
        self._upstreams = upstreams
        self._states = states
        self._metrics = metrics
        self._retention = retention
        self._replicas = replicas
        self._snapshots = snapshots
        self._list_successors = list_successors
        self._wake = Event()
        self._started_at = clock.now()
        self._taken_over = False
        self._rewards = Rewards(
            clock, rewards, metrics, self._finish, self._wake.set
        )
        runner = ItemRunner(
            clock,
            client,
            upstreams,
            states,
            self._finish,
            self._take_whole,
        )
        self._dispatcher = Dispatcher(
            service, clock, upstreams, states, client, runner, slots, metrics
        )
        self._held = ActiveJobs(
            clock,
            job_store,
            metrics,
            self._note_taken,
            self._finish,
            self._bring,
        )
        self._task: Task | None = None
        self._helpers: list[Task] = []
        store = job_store.object_store
        self._jobs = Mirror(
            store,
            clock,
            JOBS,
            self._put_job,
            self._drop_job,
            loaded=self._held.mark_uncertain,
        )
        self._ends = Mirror(store, clock, ENDS, self._put_end)
        states.subscribe(self._wake.set)
        upstreams.subscribe_restarts(self._leave_former)

    @property
    def active(self) -> bool:
        """Return whether this instance works on the service's jobs."""
        return self._task is not None

    def start(self) -> None:
        """Take the service's jobs over."""
        if self._task is None:
            write(_LOGGER, events.COORDINATES, service=self._service)
            self._held.active = True
            self._snapshots.load(self._service)
            self._started_at = self._clock.now()
            self._taken_over = False
            self._jobs.start()
            self._ends.start()
            self._task = self._clock.spawn(self._run)
            self._helpers = [
                self._clock.spawn(self._expire),
                self._clock.spawn(self._copy_texts),
            ]

    def stop(self) -> None:
        """Leave the service's jobs to another instance."""
        if self._task is None:
            return
        write(_LOGGER, events.STEPPED_DOWN, service=self._service)
        self._task.kill(block=False)
        self._task = None
        for helper in self._helpers:
            helper.kill(block=False)
        self._jobs.stop()
        self._ends.stop()
        self._held.clear()

    def mark_uncertain(self) -> None:
        """Take in that another instance may have worked here meanwhile."""
        self._held.mark_uncertain()

    def demands(self) -> dict[str, ModelDemand]:
        """Return what the open jobs, and the next ones, ask of each model."""
        return self._held.demands()

    def count_open(self) -> dict[str, int]:
        """Return the items by model that are not done."""
        counts: dict[str, int] = {}
        for work in self._held.list_open():
            undone = sum(not each.done for each in work.items.values())
            counts[work.job.model] = counts.get(work.job.model, 0) + undone
        return counts

    def read(
        self, job: JobId, after: int, wait: float, team: TeamId = _ANYBODY
    ) -> tuple[LookupStatus, Page | None]:
        """Return results from a position on, once there are any."""
        return self._held.read(job, after, wait, team)

    def read_item(
        self, job: JobId, item: ItemId, team: TeamId = _ANYBODY
    ) -> tuple[LookupStatus, bytes]:
        """Return an item's body."""
        return self._held.read_item(job, item, team)

    def _bring(self, work: JobWork) -> None:
        """Give a job that is taken over what there is of its texts."""
        self._replicas.restore(work)
        self._snapshots.restore(work)

    def _take_whole(self, work: JobWork, progress: Progress) -> None:
        self._dispatcher.note_text(work, progress)
        self._rewards.take_whole(work, progress)

    def _note_taken(self, job: Job) -> None:
        amount = sum(max(each.expected_tokens, 1) for each in job.items)
        self._states.note_work(job.model, amount)
        self._wake.set()

    def _put_job(self, name: str, stored: StoredObject) -> None:
        job = decode_job(stored.value)
        if job.service != self._service or job.id in self._held:
            return
        fresh = self._jobs.loaded and self._jobs.is_news
        self._held.expect(job.id)
        self._clock.spawn(self._held.take_stored, job.id, stored, fresh)

    def _drop_job(self, name: str) -> None:
        self._held.drop(JobId(name))

    def _put_end(self, name: str, stored: StoredObject) -> None:
        self._held.end(JobId(name))

    def _expire(self) -> None:
        """Remove closed jobs whose time is over."""
        while True:
            self._clock.sleep(EXPIRE_SECONDS)
            now = self._clock.wall()
            for held in self._held:
                work = held.work
                expired = is_expired(work.job, now, self._retention)
                if work.open or not expired:
                    continue
                try:
                    remove_job(
                        self._job_store.object_store, self._clock, work.job
                    )
                except StoreError as error:
                    _LOGGER.debug('%s is not removed: %s', work.job.id, error)
                    break

    def _copy_texts(self) -> None:
        """Keep what was made of the texts, here and with who may come next."""
        while True:
            self._clock.sleep(REPLICATION_INTERVAL_SECONDS)
            works = self._held.list_open()
            if works:
                self._snapshots.save(self._service, works)
                peers = self._list_successors()[:COPIES]
                self._replicas.send(self._service, works, peers)

    def _run(self) -> None:
        looked_at = self._boot_clock()
        while True:
            before, looked_at = looked_at, self._boot_clock()
            if looked_at - before > PAUSE_SECONDS:
                self._held.mark_uncertain()
            self._dispatch()
            self._wake.clear()
            wait_for(self._clock, self._wake, IDLE_SECONDS)

    def _has_taken_over(self, now: float) -> bool:
        """Return whether all jobs are here that the owner before worked on.

        Those that are read first would else take every slot, and the oldest
        steps, which are nearly whole, would wait behind them.
        """
        if now - self._started_at > TAKEOVER_SECONDS:
            return True
        return self._jobs.loaded and self._held.is_complete

    def _dispatch(self) -> None:
        now = self._clock.now()
        self._taken_over = self._taken_over or self._has_taken_over(now)
        if not self._taken_over:
            return
        works = self._held.list_open()
        self._metrics.set_gauge(names.OPEN_JOBS, len(works))
        if not works:
            return
        for work in works:
            self._give_up_old(work, now)
        self._dispatcher.dispatch(works, now)
        self._rewards.dispatch(works, now)

    def _leave_former(self, upstream: Upstream) -> None:
        """Have the runs of a sampler's former start go on elsewhere.

        Behind a cut they would be silent until the time limit. One that has
        just sent an event is the new start's, begun before it was noted.
        """
        now = self._clock.now()
        for work in self._held.list_open():
            for progress in work.items.values():
                here = progress.sampler == upstream.id
                if here and now - progress.heard_at > STALL_SECONDS:
                    progress.cancel()

    def _give_up_old(self, work: JobWork, now: float) -> None:
        # Counted from here, not from the submission: instances' clocks may
        # be seconds apart, and an item must not be given up too early.
        if now - work.taken_at < work.job.item_ttl + TTL_SLACK_SECONDS:
            return
        for progress in work.items.values():
            if not progress.done:
                result = Result(progress.item.id, ResultState.ERRORED, '', [])
                self._finish(work, result)

    def _finish(self, work: JobWork, result: Result) -> None:
        """Take an item's result; it is shown once it is durable."""
        held = self._held.get(work.job.id)
        if held is None or held.work is not work or work.ended:
            return
        progress = work.items[result.id]
        seconds = float(0)
        if progress.started is not None:
            seconds = self._clock.now() - progress.started
            self._metrics.observe(names.ITEM_SECONDS, seconds)
        urgent = work.finish(result)
        write(
            _LOGGER,
            events.ITEM_DONE,
            job=work.job.id,
            item=result.id,
            state=result.state.value,
            versions=result.versions,
            sampler=progress.sampler,
            events=progress.text.last,
            moves=progress.moves,
            seconds=round(seconds, 2),
            longest_gap=round(progress.longest_gap, 2),
        )
        held.committer.commit_pending(urgent=urgent or not work.open)
