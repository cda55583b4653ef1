"""Chooses a pool of a deployment for an entry's work."""

from typing import Final

import xxhash

from guavagate.decisions import PoolView, Work, choose_pool
from guavagate.exceptions import RefusalError
from guavagate.models import DeploymentId, TeamId
from guavagate.permits._directory import PoolSpec
from guavagate.runtime import Runtime

# Engines cache whole blocks of tokens; 64 tokens are about 256 characters.
BLOCK_CHARACTERS: Final = 256
# Longer shared prefixes than this many blocks do not improve the choice.
MAX_BLOCKS: Final = 16
CHARACTERS_PER_TOKEN: Final = 4


def hash_prefixes(prompt: str) -> tuple[int, ...]:
    """Return hashes of the prompt's prefixes, from shortest to longest."""
    hashed = xxhash.xxh3_64()
    keys: list[int] = []
    for index in range(min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)):
        start = index * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS]
        hashed.update(block.encode())
        keys.append(hashed.intdigest())
    return tuple(keys)


def estimate_tokens(text: str) -> int:
    """Return an estimate of the number of tokens in a text."""
    return max(len(text) // CHARACTERS_PER_TOKEN, 1)


class PoolChooser:
    """Chooses a pool by the load that the queue owners have reported."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._views: dict[str, PoolView] = {}

    def update_load(self, pool: str, load: float) -> None:
        """Record the load from a queue owner's reply."""
        view = self._views.get(pool)
        if view is not None:
            view.load = load
            view.reported_at = self._runtime.clock.now()

    def choose(
        self,
        specs: dict[str, PoolSpec],
        team: TeamId,
        deployment: DeploymentId,
        work: Work,
    ) -> str:
        """Return the key of the pool to send the work to.

        Raises
        ------
        RefusalError
            The deployment has no samplers.
        """
        pools = [
            self._view(spec)
            for spec in specs.values()
            if spec.team == team and spec.deployment == deployment
        ]
        if not pools:
            raise RefusalError(
                f'deployment {deployment!r} has no samplers',
                'declare samplers with `guavagate settings apply`',
                reason='no_samplers',
                retry_after=5.0,
            )
        view, decision = choose_pool(work, pools, self._runtime.clock.now())
        if len(pools) > 1:
            self._runtime.decisions.record(
                decision.subject,
                decision.kind,
                decision.choice,
                decision.reason,
                decision.turned_down,
            )
        return view.id

    def _view(self, spec: PoolSpec) -> PoolView:
        slots = sum(member.slots for member in spec.members)
        view = self._views.get(spec.key)
        if view is None:
            view = PoolView(id=spec.key, slots=slots)
            self._views[spec.key] = view
        view.slots = slots
        return view
