"""A sampler spoils one of its streams by bytes that are no event."""

import asyncio
import base64
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'standins_2'))

import web
from deployment import (
    HOST,
    TROUBLE,
    Deployment,
    Record,
    format_json,
    make_manifest,
    make_model_service,
    make_route,
    run_case,
)
from sampler import Sampler

JOB = '7c41e09b52d6a3f8'
GROUPS = 5
GROUP_SIZE = 8
EVENTS = 15
# 1 of 40 items: a sampler spoils 2 in 100 of its answers at most.
SPOILED = 'item-17'
SPOILED_EVENT = 6
SPOILING = b'\x07k2;p#9=\n\n'


class FaultySampler(Sampler):
    """A sampler that sends other bytes within one of its streams."""

    async def send_event(
        self,
        name: str,
        number: int,
        model: str,
        before: int,
        channel: web.Channel,
    ) -> None:
        """Send one event, and once bytes that are none."""
        if TROUBLE and (name, number) == (SPOILED, SPOILED_EVENT):
            self._record.note(f'{self.name} sends {SPOILING!r} in {name}')
            await channel.chunk(SPOILING)
        await super().send_event(name, number, model, before, channel)


def make_batch() -> bytes:
    """Return the body of a batch submission."""
    items = [
        {
            'id': f'item-{number}',
            'path': f'/draft/{number}',
            'headers': {'Guavagate-Model': 'm0'},
            'body': base64.b64encode(b'prompt').decode(),
            'tokens': 1016,
            'group-id': f'g{number // GROUP_SIZE}',
        }
        for number in range(GROUPS * GROUP_SIZE)
    ]
    return format_json(
        {
            'step': 0,
            'model': 'm0',
            'min-version': 1,
            'target-groups': GROUPS,
            'items': items,
        }
    )


async def read_results(fleet: Deployment, record: Record) -> dict[str, str]:
    """Return the texts of the completed items, read for some seconds."""
    texts: dict[str, str] = {}
    position = 0
    for turn in range(40):
        entry = fleet.entries[turn % len(fleet.entries)]
        target = f'/lots/{JOB}?after={position}'
        answer = await web.call(entry.front, 'GET', target, [('Host', HOST)])
        if answer is not None and answer.first[1] == '200':
            page = json.loads(answer.body)
            position = page['next']
            for result in page['results']:
                record.note(f'{result["id"]} is {result["state"]}')
                texts[result['id']] = result['text']
        if len(texts) == GROUPS * GROUP_SIZE:
            break
        await asyncio.sleep(0.5)
    return texts


async def play(fleet: Deployment, record: Record) -> bool:
    """Return whether each completed text is the whole output of its item."""
    for number in range(3):
        name, zone = f'i-{number}', f'z{number + 1}'
        sampler = FaultySampler(fleet, name, 100 + number, zone, events=EVENTS)
        await sampler.start()
    route = make_route('lots', '/draft/', 'rollout', service='llm')
    manifest = make_manifest(1, [route], [make_model_service()])
    fleet.store.write('config', 'main', manifest)
    await fleet.start()
    await asyncio.sleep(4)
    headers = [('Host', HOST), ('Guavagate-Request-Id', JOB)]
    answer = await web.call(
        fleet.entries[0].front, 'POST', f'/draft/{JOB}', headers, make_batch()
    )
    record.note(f'the batch submission is answered {answer and answer.first}')
    texts = await read_results(fleet, record)
    held = len(texts) == GROUPS * GROUP_SIZE
    for item, text in texts.items():
        whole = [f'{item}/{number}/1' for number in range(1, EVENTS + 1)]
        if text.split('\n') != whole:
            record.note(f'{item} is listed with {text!r}')
            held = False
    return held


if __name__ == '__main__':
    run_case(play, str(pathlib.Path(__file__).parent))
