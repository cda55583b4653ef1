"""Trainers in a closed loop on samplers, without the network.

A trainer asks for a step by its schedule, or later: step `n` waits until step
`n - 2` is trained, so two steps of a trainer are open at once. It takes each
group that is whole, goes on at its deadline, and asks again with a later step
for the groups that it did not get. A tenth of the texts is five times as long
as the others; most come with an estimate of their length, which is often far
off. The real decisions (`place`, `find_moves`) run on it in steps of `TICK`.
"""

import random
from collections.abc import Iterator, Sequence
from typing import Final

from guavagate.clock import PausedClock
from guavagate.jobs._lengths import LengthEstimator
from guavagate.jobs._models import (
    GroupId,
    ItemId,
    Job,
    JobId,
    JobItem,
    Result,
    ResultState,
)
from guavagate.jobs._result_log import ResultLog
from guavagate.jobs._schedule import SamplerSlots, find_moves, place
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.measure.fakes import MemoryStore
from guavagate.models import ServiceId, UpstreamId, WeightVersion
from guavagate.ports.sampler import TextEvent
from tests.jobs.load_parts import (
    DEADLINE,
    EVENT_SECONDS,
    FULL_SLOWER,
    HINT_SPREAD,
    HINT_TOKENS,
    IN_TIME,
    LATE_WORTH,
    LONG_RATIO,
    LONG_SHARE,
    OBJECTIVE,
    WORTH,
    Outcome,
    Plan,
    Shape,
    Step,
    Trainer,
    Trouble,
    plan_forecast,
)

TICK: Final = 0.1


class _Run:
    """A run that ends as the model's clock advances."""

    def events(self) -> Iterator[TextEvent]:
        """Yield nothing; the model counts events."""
        return iter(())

    def cancel(self) -> None:
        """Do nothing; the progress says so."""


class LoadModel:
    """Plays trainers against samplers for some seconds."""

    def __init__(
        self,
        shapes: Sequence[Shape],
        samplers: int = 5,
        slots: int = 6,
        troubles: Sequence[Trouble] = (),
        seed: int = 1,
        plan: Plan = plan_forecast,
        shared: bool = True,
        hinted: float = 1,
    ) -> None:
        self._random = random.Random(seed)
        self._plan = plan
        self._lengths = LengthEstimator()
        self._clock = PausedClock()
        self._store = MemoryStore(self._clock)
        self._slots = slots
        self._troubles = troubles
        self._trainers = [
            Trainer(f'm{number}', shape) for number, shape in enumerate(shapes)
        ]
        self._paces = [self._random.uniform(0.85, 1.2) for _ in range(samplers)]
        self._held = [0] * samplers
        self._shared = shared
        self._hinted = hinted
        self._events: dict[ItemId, float] = {}
        self._made: dict[ItemId, float] = {}
        self._running: list[tuple[Trainer, Step, ItemProgress, int]] = []
        self._ids = 0
        self._last_step_at = float(0)

    def run(self, seconds: float = 60) -> Outcome:
        """Play so many seconds; what is asked later does not count."""
        self._last_step_at = seconds - DEADLINE
        for tick in range(int(seconds / TICK)):
            now = tick * TICK
            for trainer in self._trainers:
                self._ask(trainer, now)
            self._make_events(now)
            for trainer in self._trainers:
                self._take(trainer, now)
            self._start(now)
        return self._judge(seconds)

    def find_last_late(self) -> float:
        """Return when the last step was asked for that was late in part."""
        return max((each.last_late for each in self._trainers), default=0)

    def _ask(self, trainer: Trainer, now: float) -> None:
        number = trainer.next_step
        if now < number * trainer.shape.period:
            return
        if number >= 2 and trainer.trained_at.get(number - 2, now + 1) > now:
            return
        trainer.next_step += 1
        trainer.asked += 1
        trainer.steps.append(
            Step(number, now, self._make_work(trainer, number, now))
        )

    def _make_work(self, trainer: Trainer, number: int, now: float) -> JobWork:
        shape = trainer.shape
        most = shape.groups // 2
        carried, trainer.left = trainer.left[:most], trainer.left[most:]
        groups = list(carried)
        while len(groups) < shape.groups:
            groups.append(self._make_group(shape))
        job = Job(
            id=JobId(f'{trainer.name}-{number}'),
            host='a',
            service=ServiceId('llm'),
            model=trainer.name,
            step=number,
            min_version=WeightVersion(0),
            target_groups=shape.groups,
            submitted_at=now,
            fingerprint='',
            max_attempts=3,
            item_ttl=40,
            objective=OBJECTIVE,
            items=[item for group in groups for item in group],
        )
        log = ResultLog(self._store, self._clock, job.id, 'model')
        work = JobWork(job, log, now, 0)
        for progress in work.items.values():
            made = self._made.get(progress.item.id, 0)
            progress.text.last_number = int(made)
            if made >= self._events[progress.item.id]:
                self._finish(work, progress)
        return work

    def _make_group(self, shape: Shape) -> list[JobItem]:
        self._ids += 1
        group = GroupId(f'g{self._ids}')
        items = []
        for number in range(shape.size):
            item = ItemId(f'{group}-{number}')
            mean = shape.mean_events
            events = max(mean * self._random.lognormvariate(-0.2, 0.6), 3)
            if self._random.random() < LONG_SHARE:
                events = LONG_RATIO * mean * self._random.uniform(0.6, 1.5)
            self._events[item] = events
            hint = 0
            if self._random.random() < self._hinted:
                spread = self._random.lognormvariate(0, HINT_SPREAD)
                hint = int(events * HINT_TOKENS * spread) + 1
            items.append(
                JobItem(
                    id=item,
                    path='/',
                    headers={},
                    body=b'',
                    expected_tokens=hint,
                    group=group,
                )
            )
        return items

    def _pace(self, sampler: int, now: float) -> float:
        pace = self._paces[sampler]
        for trouble in self._troubles:
            if trouble.sampler == sampler and (
                trouble.since <= now < trouble.until
            ):
                pace *= trouble.ratio
        return pace

    def _make_events(self, now: float) -> None:
        still = []
        for entry in self._running:
            _, step, progress, sampler = entry
            item = progress.item.id
            if progress.done or progress.cancelled or step.work.ended:
                self._free(progress, sampler)
                continue
            fill = self._held[sampler] / self._slots
            pace = self._pace(sampler, now)
            if pace:
                seconds = EVENT_SECONDS * pace * (1 + FULL_SLOWER * fill)
                self._made[item] = self._made.get(item, 0) + TICK / seconds
                progress.last_event_at = now
            progress.text.last_number = int(self._made.get(item, 0))
            if self._made.get(item, 0) >= self._events[item]:
                self._lengths.record(step.work.job.model, progress)
                self._finish(step.work, progress)
                self._free(progress, sampler)
                continue
            still.append(entry)
        self._running = still

    def _free(self, progress: ItemProgress, sampler: int) -> None:
        self._held[sampler] -= 1
        progress.sampler = None
        progress.run = None

    def _finish(self, work: JobWork, progress: ItemProgress) -> None:
        result = Result(progress.item.id, ResultState.COMPLETED, '', [])
        work.add_result(result)
        work.log.committed.add(progress.item.id)

    def _take(self, trainer: Trainer, now: float) -> None:
        """Note whole groups; train the oldest step when it is done."""
        for step in list(trainer.steps):
            work = step.work
            for group in {each.group for each in work.job.items}:
                if work.is_group_complete(group):
                    step.whole_at.setdefault(group, now)
            over = now - step.asked_at >= DEADLINE
            if len(step.whole_at) >= trainer.shape.groups or over:
                self._end(trainer, step, now)

    def _end(self, trainer: Trainer, step: Step, now: float) -> None:
        work = step.work
        work.ended = True
        trainer.steps.remove(step)
        whole = [at - step.asked_at for at in step.whole_at.values()]
        if len(whole) < trainer.shape.groups or max(whole) > IN_TIME:
            trainer.last_late = max(trainer.last_late, step.asked_at)
        for at in step.whole_at.values():
            if step.number * trainer.shape.period > self._last_step_at:
                break
            if at - step.asked_at <= IN_TIME:
                trainer.in_time += 1
            else:
                trainer.late += 1
        left: dict[GroupId, list[JobItem]] = {}
        for item in work.job.items:
            if item.group not in step.whole_at:
                left.setdefault(item.group, []).append(item)
        trainer.left += left.values()
        before = trainer.trained_at.get(step.number - 1, 0)
        trainer.trained_at[step.number] = (
            max(now, before) + trainer.shape.training
        )

    def _start(self, now: float) -> None:
        works = [
            step.work
            for trainer in self._trainers
            for step in trainer.steps
            if step.work.open
        ]
        owners = {
            step.work.job.id: (trainer, step)
            for trainer in self._trainers
            for step in trainer.steps
        }
        samplers = self._list_slots(now)
        plans = self._plan(works, samplers, self._lengths, now)
        for placement in place(plans, samplers, self._lengths):
            trainer, step = owners[placement.job]
            progress = step.work.items[placement.item]
            sampler = int(placement.sampler)
            self._held[sampler] += 1
            progress.sampler = placement.sampler
            progress.started_at = now
            progress.cancelled = False
            progress.run = _Run()
            self._running.append((trainer, step, progress, sampler))
        samplers = self._list_slots(now)
        for progress in find_moves(
            works, samplers, now, self._estimate_seconds
        ):
            progress.moves += 1
            progress.cancelled = True

    def _estimate_seconds(self, work: JobWork, progress: ItemProgress) -> float:
        model = work.job.model
        if not self._lengths.is_known(model):
            return 0
        return (
            self._lengths.estimate(model, progress).conservative * EVENT_SECONDS
        )

    def _list_slots(self, now: float) -> list[SamplerSlots]:
        models = frozenset(each.name for each in self._trainers)
        paces = [self._pace(each, now) for each in range(len(self._paces))]
        usual = sorted(paces)[len(paces) // 2] or 1
        return [
            SamplerSlots(
                id=UpstreamId(str(number)),
                versions=dict.fromkeys(models, WeightVersion(0)),
                free=self._slots - self._held[number],
                slots=self._slots,
                relative_interval=(pace or usual) / usual,
                models=(
                    models
                    if self._shared
                    else frozenset((f'm{number % len(models)}',))
                ),
            )
            for number, pace in enumerate(paces)
        ]

    def _judge(self, seconds: float) -> Outcome:
        shares = {}
        owed = 0
        for trainer in self._trainers:
            shape = trainer.shape
            steps = int((seconds - DEADLINE) / shape.period) + 1
            groups = steps * shape.groups
            owed += groups
            worth = trainer.in_time * WORTH + trainer.late * LATE_WORTH
            shares[trainer.name] = worth / (groups * WORTH)
        return Outcome(
            shares,
            sum(each.in_time for each in self._trainers),
            sum(each.late for each in self._trainers),
            owed,
            {
                each.name: seconds - each.next_step * each.shape.period
                for each in self._trainers
            },
        )
