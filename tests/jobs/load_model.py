"""Simulates trainers in a closed loop on samplers, without the network.

A trainer requests a step on schedule, or later: step `n` waits until step
`n - 2` is trained, so two steps of a trainer are open at once. It uses each
complete group, continues at its deadline, and submits unfinished groups again
with a later step. A tenth of the texts is five times as long as the others.
Most come with an estimate of their length, which is often far off. The
production code (`place`, `find_moves`) decides, once per `TICK_SECONDS`.
"""

import random
from collections.abc import Iterator, Sequence
from typing import Final

from guavagate.clock import PausedClock
from guavagate.jobs._models import (
    GroupId,
    ItemId,
    Job,
    JobId,
    JobItem,
    PromptPrefix,
    Result,
    ResultState,
)
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.jobs.scheduling._lengths import LengthEstimator
from guavagate.jobs.scheduling._memory import (
    make_memory_estimate,
    reserve_running,
)
from guavagate.jobs.scheduling._moves import (
    RemainingTime,
    find_moves,
    find_urgent_moves,
)
from guavagate.jobs.scheduling._schedule import place
from guavagate.jobs.scheduling._slots import count_reserved_slots
from guavagate.measure.fakes import MemoryStore
from guavagate.models import ServiceId, WeightVersion
from guavagate.ports.sampler import TextEvent
from tests.jobs.load_engines import UNLIMITED, EngineProfile, SimulatedEngines
from tests.jobs.load_parts import (
    DEADLINE_SECONDS,
    ESTIMATE_SPREAD,
    EVENT_SECONDS,
    IN_TIME_SECONDS,
    IN_TIME_VALUE,
    LATE_VALUE,
    LONG_RATIO,
    LONG_SHARE,
    OBJECTIVE_SECONDS,
    TOKENS_PER_EVENT,
    Outcome,
    Planner,
    Slowdown,
    Step,
    Trainer,
    TrainerProfile,
    plan_forecast,
)
from tests.jobs.load_samplers import SimulatedSamplers

TICK_SECONDS: Final = 0.1


class _Run:
    """A run that ends as the model's clock advances."""

    def events(self) -> Iterator[TextEvent]:
        """Yield nothing; the model counts events."""
        return iter(())

    def cancel(self) -> None:
        """Do nothing; the progress is marked as cancelled."""


class LoadModel:
    """Runs simulated trainers against simulated samplers."""

    def __init__(
        self,
        profiles: Sequence[TrainerProfile],
        samplers: int = 5,
        slots: int = 6,
        slowdowns: Sequence[Slowdown] = (),
        seed: int = 1,
        planner: Planner = plan_forecast,
        shared: bool = True,
        estimated_share: float = 1,
        factors: Sequence[float] = (),
        known_intervals: bool = True,
        estimate_errors: Sequence[float] = (1,),
        engine: EngineProfile = UNLIMITED,
    ) -> None:
        self.engines = SimulatedEngines(engine)
        self._slots = slots
        self._random = random.Random(seed)
        self._planner = planner
        self._lengths = LengthEstimator()
        self._clock = PausedClock()
        self._store = MemoryStore(self._clock)
        self._trainers = [
            Trainer(f'm{number}', profile)
            for number, profile in enumerate(profiles)
        ]
        drawn = [self._random.uniform(0.85, 1.2) for _ in range(samplers)]
        names = [each.name for each in self._trainers]
        self.samplers = SimulatedSamplers(
            factors or drawn,
            slots,
            slowdowns,
            [
                frozenset(names if shared else (names[number % len(names)],))
                for number in range(len(factors) or samplers)
            ],
            random.Random(seed),
            known=known_intervals,
        )
        self.moves = 0
        self._estimated_share = estimated_share
        self._estimate_errors = estimate_errors
        self._error_random = random.Random(seed)
        self._lengths_by_item: dict[ItemId, float] = {}
        self._generated: dict[ItemId, float] = {}
        self._running: list[tuple[Trainer, Step, ItemProgress, int]] = []
        self._ids = 0
        self._last_step_at = float(0)

    def run(self, seconds: float = 60) -> Outcome:
        """Run for some seconds; steps without time to end don't count."""
        self._last_step_at = seconds - DEADLINE_SECONDS
        for tick in range(int(seconds / TICK_SECONDS)):
            now = tick * TICK_SECONDS
            for trainer in self._trainers:
                self._request_step(trainer, now)
            self._generate(now)
            self.samplers.measure(now, TICK_SECONDS)
            for trainer in self._trainers:
                self._collect_groups(trainer, now)
            self._start_items(now)
        self.outcome = self._summarize(seconds)
        return self.outcome

    def find_last_late(self) -> float:
        """Return when the last step was requested that was partly late."""
        return max((each.last_late_at for each in self._trainers), default=0)

    def _request_step(self, trainer: Trainer, now: float) -> None:
        number = trainer.next_step
        if now < number * trainer.profile.period:
            return
        if number >= 2 and trainer.trained_at.get(number - 2, now + 1) > now:
            return
        trainer.next_step += 1
        trainer.requested_steps += 1
        trainer.steps.append(
            Step(number, now, self._make_work(trainer, number, now))
        )

    def _make_work(self, trainer: Trainer, number: int, now: float) -> JobWork:
        profile = trainer.profile
        limit = profile.groups // 2
        resubmitted, trainer.unfinished = (
            trainer.unfinished[:limit],
            trainer.unfinished[limit:],
        )
        groups = list(resubmitted)
        while len(groups) < profile.groups:
            groups.append(self._make_group(profile))
        job = Job(
            id=JobId(f'{trainer.name}-{number}'),
            host='a',
            service=ServiceId('llm'),
            model=trainer.name,
            step=number,
            min_version=WeightVersion(0),
            target_groups=profile.groups,
            submitted_at=now,
            fingerprint='',
            max_attempts=3,
            item_ttl=40,
            objective=OBJECTIVE_SECONDS,
            items=[item for group in groups for item in group],
        )
        log = ResultLog(self._store, self._clock, job.id, 'model')
        work = JobWork(job, log, now, 0)
        for progress in work.items.values():
            generated = self._generated.get(progress.item.id, 0)
            progress.text.last_number = int(generated)
            if generated >= self._lengths_by_item[progress.item.id]:
                self._finish(work, progress)
        return work

    def _make_group(self, profile: TrainerProfile) -> list[JobItem]:
        self._ids += 1
        group = GroupId(f'g{self._ids}')
        items = []
        prompt = self.engines.profile.prompt
        for number in range(profile.size):
            item = ItemId(f'{group}-{number}')
            mean = profile.mean_events
            events = max(mean * self._random.lognormvariate(-0.2, 0.6), 3)
            if self._random.random() < LONG_SHARE:
                events = LONG_RATIO * mean * self._random.uniform(0.6, 1.5)
            self._lengths_by_item[item] = events
            estimate = 0
            if self._random.random() < self._estimated_share:
                spread = self._random.lognormvariate(0, ESTIMATE_SPREAD)
                spread *= self._error_random.choice(self._estimate_errors)
                estimate = int(events * TOKENS_PER_EVENT * spread) + 1
            items.append(
                JobItem(
                    id=item,
                    path='/',
                    headers={},
                    body=b'',
                    expected_tokens=estimate,
                    prompt_tokens=prompt,
                    prompt_prefixes=(PromptPrefix(group, prompt),),
                    group=group,
                )
            )
        return items

    def _generate(self, now: float) -> None:
        running = []
        preempted = self.engines.preempt(
            (sampler, each.item.group, each.item.id, each.text.last_number)
            for _, _, each, sampler in self._running
        )
        for entry in self._running:
            _, step, progress, sampler = entry
            item = progress.item.id
            if progress.done or progress.cancelled or step.work.ended:
                self._release_slot(progress, sampler, now, cut=True)
                continue
            seconds = self.samplers.compute_interval(sampler, now)
            if seconds and item not in preempted:
                self._generated[item] = (
                    self._generated.get(item, 0) + TICK_SECONDS / seconds
                )
                progress.last_event_at = now
            progress.text.last_number = int(self._generated.get(item, 0))
            if self._generated.get(item, 0) >= self._lengths_by_item[item]:
                self._lengths.record(step.work.job.model, progress)
                self._finish(step.work, progress)
                self._release_slot(progress, sampler, now, cut=False)
                continue
            running.append(entry)
        self._running = running

    def _release_slot(
        self, progress: ItemProgress, sampler: int, now: float, *, cut: bool
    ) -> None:
        self.samplers.release(sampler, now, cut=cut)
        progress.sampler = None
        progress.run = None

    def _finish(self, work: JobWork, progress: ItemProgress) -> None:
        result = Result(progress.item.id, ResultState.COMPLETED, '', [])
        work.add_result(result)
        work.log.committed.add(progress.item.id)

    def _collect_groups(self, trainer: Trainer, now: float) -> None:
        """Record complete groups; end steps that are done or overdue."""
        for step in list(trainer.steps):
            work = step.work
            for group in {each.group for each in work.job.items}:
                if work.is_group_complete(group):
                    step.completed_at.setdefault(group, now)
            overdue = now - step.requested_at >= DEADLINE_SECONDS
            if len(step.completed_at) >= trainer.profile.groups or overdue:
                self._end_step(trainer, step, now)

    def _end_step(self, trainer: Trainer, step: Step, now: float) -> None:
        work = step.work
        work.ended = True
        trainer.steps.remove(step)
        durations = [
            at - step.requested_at for at in step.completed_at.values()
        ]
        if (
            len(durations) < trainer.profile.groups
            or max(durations) > IN_TIME_SECONDS
        ):
            trainer.last_late_at = max(trainer.last_late_at, step.requested_at)
        for at in step.completed_at.values():
            if step.number * trainer.profile.period > self._last_step_at:
                break
            if at - step.requested_at <= IN_TIME_SECONDS:
                trainer.in_time += 1
            else:
                trainer.late += 1
        unfinished: dict[GroupId, list[JobItem]] = {}
        for item in work.job.items:
            if item.group not in step.completed_at:
                unfinished.setdefault(item.group, []).append(item)
        trainer.unfinished += unfinished.values()
        before = trainer.trained_at.get(step.number - 1, 0)
        trainer.trained_at[step.number] = (
            max(now, before) + trainer.profile.training
        )

    def _start_items(self, now: float) -> None:
        works = [
            step.work
            for trainer in self._trainers
            for step in trainer.steps
            if step.work.open
        ]
        steps_by_job = {
            step.work.job.id: (trainer, step)
            for trainer in self._trainers
            for step in trainer.steps
        }
        capacity = self.engines.profile.configured
        memory = make_memory_estimate(self._lengths, capacity, self._slots)
        samplers = self.samplers.list_slots(
            now,
            count_reserved_slots(works),
            reserve_running(works, capacity, memory),
        )
        plans = self._planner(works, samplers, self._lengths, now)
        moves = find_urgent_moves(
            works, samplers, now, self._estimate_time, memory
        )
        placements = place(plans, samplers, self._lengths, memory)
        for placement in placements.started:
            trainer, step = steps_by_job[placement.job]
            progress = step.work.items[placement.item]
            sampler = int(placement.sampler)
            self.samplers.start(sampler, now)
            progress.sampler = placement.sampler
            progress.move_target = None
            progress.started_at = now
            progress.cancelled = False
            progress.run = _Run()
            self._running.append((trainer, step, progress, sampler))
        moves += find_moves(works, samplers, now, self._estimate_time, memory)
        self.moves += len(moves)
        for move in moves:
            move.progress.moves += 1
            move.progress.move_target = move.target
            move.progress.cancelled = True

    def _estimate_time(
        self, work: JobWork, progress: ItemProgress
    ) -> RemainingTime:
        model = work.job.model
        if not self._lengths.is_known(model):
            return RemainingTime()
        length = self._lengths.estimate(model, progress)
        return RemainingTime(
            length.typical * EVENT_SECONDS, length.conservative * EVENT_SECONDS
        )

    def _summarize(self, seconds: float) -> Outcome:
        shares = {}
        requested = 0
        for trainer in self._trainers:
            profile = trainer.profile
            steps = int((seconds - DEADLINE_SECONDS) / profile.period) + 1
            groups = steps * profile.groups
            requested += groups
            value = trainer.in_time * IN_TIME_VALUE + trainer.late * LATE_VALUE
            shares[trainer.name] = value / (groups * IN_TIME_VALUE)
        return Outcome(
            shares,
            sum(each.in_time for each in self._trainers),
            sum(each.late for each in self._trainers),
            requested,
            {
                each.name: seconds - each.next_step * each.profile.period
                for each in self._trainers
            },
        )
