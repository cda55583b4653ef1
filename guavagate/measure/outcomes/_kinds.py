"""The faults that a run may hold, each drawn and timed by the seed."""

import random
from collections.abc import Callable, Iterator
from typing import Final

from guavagate.measure.outcomes._faults import Faults


def _kill_all(faults: Faults) -> None:
    """Kill all instances at once, as when a site loses power."""
    for name in faults.list_running():
        faults.kill(name)


def _pause_all(faults: Faults) -> None:
    """Pause all instances together."""
    for name in faults.list_running():
        faults.pause(name)


def _lose_primary_around_outage(faults: Faults, when: str) -> None:
    """Kill the primary with the store down before, during or after."""
    begin = {
        'before': lambda: faults.later(0.5, 2, _outage(faults)),
        'during': _outage(faults),
        'after': lambda: faults.later(2, 4, _outage(faults)),
    }
    faults.note(f'store down {when} a takeover')
    begin[when]()
    faults.kill(faults.pick('primary'))


def _outage(faults: Faults) -> Callable[[], None]:
    """Return what brings an outage about."""
    return lambda: faults.for_a_while(
        'store outage',
        lambda: faults.set_store(outage=True),
        lambda: faults.set_store(outage=False),
    )


def _race(faults: Faults) -> None:
    """Let several take the partitions of a dead primary, the store slow."""
    faults.note('racing takeovers')
    faults.set_store(slow=0.5)
    primary = faults.pick('primary')
    if primary:
        faults.kill(primary)
        faults.misjudge(faults.pick('entry') or primary)
    faults.later(6, 9, lambda: faults.set_store(slow=0))


def _misjudge(faults: Faults) -> None:
    """Let others take a living primary for dead, with the store slow."""
    name = faults.pick('primary')
    if not name:
        return
    faults.note('primary falsely taken for dead')
    faults.set_store(slow=0.2)
    faults.misjudge(name)
    faults.later(3, 6, lambda: faults.set_store(slow=0))


def _lose_write(faults: Faults) -> None:
    """Lose the answers to some writes, and kill the primary."""
    faults.note('primary killed after lost writes')
    faults.set_store(lose_next=3)
    faults.later(0, 0.5, lambda: faults.kill(faults.pick('primary')))


FAULTS: Final[dict[str, Callable[[Faults], None]]] = {
    'entry killed': lambda faults: faults.kill(faults.pick('entry')),
    'primary killed': lambda faults: faults.kill(faults.pick('primary')),
    'primary paused': lambda faults: faults.pause(faults.pick('primary')),
    'other killed': lambda faults: faults.kill(faults.pick('other')),
    'entry paused': lambda faults: faults.pause(faults.pick('entry')),
    'all killed': _kill_all,
    'all paused': _pause_all,
    'struck before a write': lambda faults: faults.at_write(
        faults.kill, done=False
    ),
    'struck after a write': lambda faults: faults.at_write(
        faults.kill, done=True
    ),
    'paused before a write': lambda faults: faults.at_write(
        faults.pause, done=False
    ),
    'paused after a write': lambda faults: faults.at_write(
        faults.pause, done=True
    ),
    'writes late': lambda faults: faults.for_a_while(
        'writes late',
        lambda: faults.set_store(late=0.3),
        lambda: faults.set_store(late=0),
    ),
    'killed at a step': lambda faults: faults.at_step(faults.kill, 'any'),
    'primary killed at a step': lambda faults: faults.at_step(
        faults.kill, 'primary'
    ),
    'primary paused at a step': lambda faults: faults.at_step(
        faults.pause, 'primary'
    ),
    'entry killed at its call': lambda faults: faults.at_upstream(faults.kill),
    'entry paused at its call': lambda faults: faults.at_upstream(faults.pause),
    'store outage': lambda faults: _outage(faults)(),
    'store down before takeover': lambda faults: _lose_primary_around_outage(
        faults, 'before'
    ),
    'store down during takeover': lambda faults: _lose_primary_around_outage(
        faults, 'during'
    ),
    'store down after takeover': lambda faults: _lose_primary_around_outage(
        faults, 'after'
    ),
    'store answers lost': lambda faults: faults.for_a_while(
        'store answers lost',
        lambda: faults.set_store(lose_answers=0.7),
        lambda: faults.set_store(lose_answers=0),
    ),
    'store reads stale': lambda faults: faults.for_a_while(
        'store reads stale',
        lambda: faults.set_store(old=dict(faults.store_objects())),
        lambda: faults.set_store(old=None),
    ),
    'racing takeovers': _race,
    'primary falsely taken for dead': _misjudge,
    'primary killed after lost writes': _lose_write,
    'one-way partition': lambda faults: faults.block_one_way(),
    'messages lost': lambda faults: faults.for_a_while(
        'messages lost',
        lambda: faults.set_network(loss=0.1),
        lambda: faults.set_network(loss=0),
    ),
    'planned stop': lambda faults: faults.stop_one(),
}


def bring(faults: Faults, name: str) -> None:
    """Bring about one fault now; count it under its name, too."""
    before = len(faults.held)
    FAULTS[name](faults)
    if len(faults.held) > before:
        faults.held.append(name)


def draw_faults(rng: random.Random) -> Iterator[tuple[float, str]]:
    """Draw the faults of a run, with the time of each."""
    names = sorted(FAULTS)
    for _ in range(rng.choice((1, 1, 2, 2, 3, 4))):
        yield rng.uniform(0, 10), rng.choice(names)
