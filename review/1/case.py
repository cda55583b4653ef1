"""A route of batch submissions moves to another service."""

import asyncio
import pathlib
import sys
from typing import Any

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

MODELS = ('draft', 'ruling')
OLD, NEW = 'consent-llm', 'consent-llm-2'


def make_manifest(version: int, draft: str) -> dict[str, Any]:
    """Return a manifest; only the route of one trainer differs."""
    return {
        'version': version,
        'routes': [
            kit.make_rollout_route('r1', 'a.example', '/draft/', draft),
            kit.make_rollout_route('r2', 'b.example', '/ruling/', OLD),
        ],
        'services': [
            kit.make_model_service(OLD, MODELS),
            kit.make_model_service(NEW, MODELS),
        ],
        'limits': kit.LIMITS,
    }


async def move_route(deployment: kit.Deployment) -> None:
    """Run two trainers, and move the route of one to a new service."""
    record = deployment.record
    deployment.add_samplers(OLD, 3, MODELS)
    deployment.add_samplers(NEW, 3, MODELS)
    ruling = kit.Trainer(deployment, 'ruling', 'b.example', '/ruling/')
    draft = kit.Trainer(deployment, 'draft', 'a.example', '/draft/')

    def check(sampler: kit.Sampler, request: kit.Request) -> None:
        if sampler.service == NEW and request.get('host') == 'b.example':
            record.break_rule(
                'ROUTE',
                f'{request.get("guavagate-request-id")} of the route r2 is run'
                f' by {NEW}, to which no manifest allows it to go',
            )

    for sampler in deployment.samplers:
        sampler.on_run = check
    if not await deployment.start(make_manifest(3, OLD)):
        raise RuntimeError('the entries did not become ready')
    tasks = [asyncio.create_task(each.run(24)) for each in (ruling, draft)]
    await asyncio.sleep(10)
    if kit.TROUBLE:
        deployment.publish(make_manifest(5, NEW))
    await asyncio.gather(*tasks)


kit.run_case(move_route, FOLDER)
