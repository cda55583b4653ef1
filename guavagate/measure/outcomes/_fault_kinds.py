"""Kinds of faults; the seed of a run selects and times them."""

import random
from collections.abc import Callable, Iterator
from typing import Final

from guavagate.measure.outcomes._fault_injector import FaultInjector


def _kill_all(injector: FaultInjector) -> None:
    """Kill all instances at once, like a power failure of a site."""
    for name in injector.list_running():
        injector.kill(name)


def _pause_all(injector: FaultInjector) -> None:
    """Pause all instances at once."""
    for name in injector.list_running():
        injector.pause(name)


def _lose_primary_around_outage(injector: FaultInjector, when: str) -> None:
    """Kill a primary with a store outage before, during or after that."""
    begin = {
        'before': lambda: injector.schedule(0.5, 2, _outage(injector)),
        'during': _outage(injector),
        'after': lambda: injector.schedule(2, 4, _outage(injector)),
    }
    injector.record(f'store down {when} a takeover')
    begin[when]()
    injector.kill(injector.pick('primary'))


def _outage(injector: FaultInjector) -> Callable[[], None]:
    """Return a function that injects a store outage."""
    return lambda: injector.inject_temporarily(
        'store outage',
        lambda: injector.set_store_faults(outage=True),
        lambda: injector.set_store_faults(outage=False),
    )


def _race_takeovers(injector: FaultInjector) -> None:
    """Let several instances take over from a dead primary, on a slow store."""
    injector.record('racing takeovers')
    injector.set_store_faults(added_delay=0.5)
    primary = injector.pick('primary')
    if primary:
        injector.kill(primary)
        injector.mark_falsely_dead(injector.pick('entry') or primary)
    injector.schedule(6, 9, lambda: injector.set_store_faults(added_delay=0))


def _mark_primary_falsely_dead(injector: FaultInjector) -> None:
    """Report a live primary as dead to others, with a slow store."""
    name = injector.pick('primary')
    if not name:
        return
    injector.record('primary falsely taken for dead')
    injector.set_store_faults(added_delay=0.2)
    injector.mark_falsely_dead(name)
    injector.schedule(3, 6, lambda: injector.set_store_faults(added_delay=0))


def _lose_write(injector: FaultInjector) -> None:
    """Lose the answers to some writes and kill the primary."""
    injector.record('primary killed after lost writes')
    injector.set_store_faults(lose_next=3)
    injector.schedule(0, 0.5, lambda: injector.kill(injector.pick('primary')))


FAULTS: Final[dict[str, Callable[[FaultInjector], None]]] = {
    'entry killed': lambda injector: injector.kill(injector.pick('entry')),
    'primary killed': lambda injector: injector.kill(injector.pick('primary')),
    'primary paused': lambda injector: injector.pause(injector.pick('primary')),
    'other killed': lambda injector: injector.kill(injector.pick('other')),
    'entry paused': lambda injector: injector.pause(injector.pick('entry')),
    'all killed': _kill_all,
    'all paused': _pause_all,
    'struck before a write': lambda injector: injector.on_write(
        injector.kill, after_write=False
    ),
    'struck after a write': lambda injector: injector.on_write(
        injector.kill, after_write=True
    ),
    'paused before a write': lambda injector: injector.on_write(
        injector.pause, after_write=False
    ),
    'paused after a write': lambda injector: injector.on_write(
        injector.pause, after_write=True
    ),
    'writes late': lambda injector: injector.inject_temporarily(
        'writes late',
        lambda: injector.set_store_faults(late_write_share=0.3),
        lambda: injector.set_store_faults(late_write_share=0),
    ),
    'killed at a step': lambda injector: injector.on_message(
        injector.kill, 'any'
    ),
    'primary killed at a step': lambda injector: injector.on_message(
        injector.kill, 'primary'
    ),
    'primary paused at a step': lambda injector: injector.on_message(
        injector.pause, 'primary'
    ),
    'entry killed at its call': lambda injector: injector.on_upstream_call(
        injector.kill
    ),
    'entry paused at its call': lambda injector: injector.on_upstream_call(
        injector.pause
    ),
    'store outage': lambda injector: _outage(injector)(),
    'store down before takeover': lambda injector: _lose_primary_around_outage(
        injector, 'before'
    ),
    'store down during takeover': lambda injector: _lose_primary_around_outage(
        injector, 'during'
    ),
    'store down after takeover': lambda injector: _lose_primary_around_outage(
        injector, 'after'
    ),
    'store answers lost': lambda injector: injector.inject_temporarily(
        'store answers lost',
        lambda: injector.set_store_faults(lose_answers=0.7),
        lambda: injector.set_store_faults(lose_answers=0),
    ),
    'store reads stale': lambda injector: injector.inject_temporarily(
        'store reads stale',
        lambda: injector.set_store_faults(
            stale_objects=dict(injector.get_store_objects())
        ),
        lambda: injector.set_store_faults(stale_objects=None),
    ),
    'racing takeovers': _race_takeovers,
    'primary falsely taken for dead': _mark_primary_falsely_dead,
    'primary killed after lost writes': _lose_write,
    'one-way partition': lambda injector: injector.block_one_way(),
    'messages lost': lambda injector: injector.inject_temporarily(
        'messages lost',
        lambda: injector.set_network_faults(loss=0.1),
        lambda: injector.set_network_faults(loss=0),
    ),
    'planned stop': lambda injector: injector.stop_one(),
}


def inject(injector: FaultInjector, name: str) -> None:
    """Inject a fault now; record its name too if it had an effect."""
    before = len(injector.injected)
    FAULTS[name](injector)
    if len(injector.injected) > before:
        injector.injected.append(name)


def draw_faults(rng: random.Random) -> Iterator[tuple[float, str]]:
    """Draw the faults of a run, each with its time in seconds."""
    names = sorted(FAULTS)
    for _ in range(rng.choice((1, 1, 2, 2, 3, 4))):
        yield rng.uniform(0, 10), rng.choice(names)
