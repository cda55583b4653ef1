"""Samplers crash one after the other while one item happens to run there."""

import asyncio
import pathlib
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

SERVICE = 'consent-llm'
MODELS = ('consent',)
SAMPLERS, SLOTS = 6, 12
# Each crash takes one of six samplers: the share of the sheet is 0.17.
CRASHES = 3
DOWN_SECONDS = 1.0
CRASH_AFTER_SECONDS = 0.6
LONG_EVENTS = 60
STABLE_SECONDS = 3.0
LYING_SECONDS = 5.0
NAMED_SECONDS = 6.0
TICK_SECONDS = 0.05


def make_manifest() -> dict[str, Any]:
    """Return the only manifest."""
    return {
        'version': 3,
        'routes': [
            kit.make_rollout_route('r1', 'a.example', '/consent/', SERVICE)
        ],
        'services': [kit.make_model_service(SERVICE, MODELS)],
        'limits': kit.LIMITS,
    }


class Watch:
    """Sees at which samplers the items are, and how full these are."""

    def __init__(
        self, deployment: kit.Deployment, trainer: kit.Trainer
    ) -> None:
        self._deployment = deployment
        self._trainer = trainer
        self._record = deployment.record
        self.seen_at: dict[str, float] = {}
        self.full_at = 0.0
        self.crashed_at = 0.0

    async def run(self) -> None:
        """Look at all samplers again and again."""
        while True:
            now = self._record.now()
            running = 0
            for sampler in self._deployment.samplers:
                running += len(sampler.running)
                self.seen_at |= dict.fromkeys(sampler.running, now)
            if running * 2 >= SAMPLERS * SLOTS:
                self.full_at = now
            await asyncio.sleep(TICK_SECONDS)

    def check(self, step: kit.Step, missing: list[str]) -> None:
        """Check the rule for a step whose time is over."""
        now = self._record.now()
        steady_from = max(self.crashed_at + STABLE_SECONDS, step.accepted_at)
        self._record.write(f'the time of step {step.number} is over: {missing}')
        finished: set[str] = set()
        for sampler in self._deployment.samplers:
            finished |= sampler.finished
        named_until = self._trainer.named_at + NAMED_SECONDS
        begun = any(self.seen_at.get(each['id']) for each in step.items)
        for item in step.items:
            name = item['id']
            if item['group-id'] not in missing or name in finished:
                continue
            left_at = self.seen_at.get(name, step.accepted_at)
            since = max(left_at, steady_from, self.full_at, named_until)
            lying = now - since
            if begun and lying >= LYING_SECONDS:
                self._record.break_rule(
                    'LOST',
                    f'{name} was at no sampler for {lying:.1f} s of steady'
                    f' state when the time of step {step.number} was over',
                )


class Crashes:
    """Crashes samplers, one at a time, under the longest item of a step."""

    def __init__(self, trainer: kit.Trainer, watch: Watch) -> None:
        self._trainer = trainer
        self._watch = watch
        self._left = CRASHES
        self._item = ''
        self._tasks: list[asyncio.Task[None]] = []

    def on_run(self, sampler: kit.Sampler, request: kit.Request) -> None:
        """Crash the sampler soon if the item has begun there."""
        name = request.get('guavagate-request-id')
        step = self._trainer.step
        if not self._item and step is not None and self._fits(step, name):
            self._item = name
        if name == self._item and self._left:
            self._left -= 1
            self._tasks.append(asyncio.create_task(self._crash(sampler)))

    def _fits(self, step: kit.Step, name: str) -> bool:
        """Return whether an item is long, and new with the third step."""
        if step.number != 2 or kit.count_events(name) < LONG_EVENTS:
            return False
        return any(
            each['id'] == name and each['group-id'].startswith('g2-')
            for each in step.items
        )

    async def _crash(self, sampler: kit.Sampler) -> None:
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        await sampler.crash(DOWN_SECONDS)
        self._watch.crashed_at = self._watch._record.now()


async def crash_samplers(deployment: kit.Deployment) -> None:
    """Run one trainer, and crash samplers during its third step."""
    deployment.add_samplers(SERVICE, SAMPLERS, MODELS)
    trainer = kit.Trainer(
        deployment,
        'consent',
        'a.example',
        '/consent/',
        groups=10,
        wanted=9,
    )
    watch = Watch(deployment, trainer)
    crashes = Crashes(trainer, watch)
    trainer.on_time_over = watch.check
    for sampler in deployment.samplers:
        if kit.TROUBLE:
            sampler.on_run = crashes.on_run
    if not await deployment.start(make_manifest()):
        raise RuntimeError('the entries did not become ready')
    watching = asyncio.create_task(watch.run())
    await trainer.run(45)
    watching.cancel()


kit.run_case(crash_samplers, FOLDER)
