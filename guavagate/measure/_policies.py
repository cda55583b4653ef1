"""What is measured: the product, the baselines, each safeguard off."""

from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from guavagate.decisions import (
    ALL_SAFEGUARDS,
    Pool,
    PoolSettings,
    Safeguard,
    SamplerInfo,
    SamplerState,
    Work,
    order,
    placement,
)
from guavagate.exceptions import SettingsError

# What a balancer without a queue of its own sends to an engine at once.
_UNLIMITED: Final = 100_000

PRODUCT: Final = 'guavagate'
FIFO: Final = 'fifo'


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a pool, made anew for each run."""

    name: str
    settings: Callable[[], PoolSettings]
    unlimited: bool = False

    def make_pool(self, infos: Sequence[SamplerInfo]) -> Pool:
        """Return a pool of these samplers."""
        if self.unlimited:
            infos = [
                msgspec.structs.replace(info, slots=_UNLIMITED)
                for info in infos
            ]
        return Pool(self.settings(), infos, 0)


def get_policy(name: str) -> Policy:
    """Return a policy by name.

    Raises
    ------
    SettingsError
        There is none of this name.
    """
    policy = _all_policies().get(name)
    if policy is None:
        known = ', '.join(_all_policies())
        raise SettingsError(f'no policy {name!r}', f'use one of {known}')
    return policy


def list_policies() -> list[str]:
    """Return the names of all policies."""
    return list(_all_policies())


def _all_policies() -> dict[str, Policy]:
    policies = [
        _with(PRODUCT),
        _with(FIFO, safeguards=frozenset()),
        Policy(
            name='round-robin',
            settings=lambda: PoolSettings(
                safeguards=frozenset(), choose=_choose_in_turn()
            ),
            unlimited=True,
        ),
        _with('order-fifo', order=order.order_by_arrival),
        _with('order-deadline', order=order.order_by_deadline),
        _with('order-shortest', order=order.order_by_length),
        _with('choose-least', choose=placement.choose_least_loaded),
        _with('choose-two', choose=placement.choose_least_of_two),
        _with('choose-rendezvous', choose=placement.choose_rendezvous),
        _with('choose-modulo', choose=placement.choose_modulo),
    ]
    for target in (1, 2, 5, 10, 20, 50):
        by_stretch = order.order_by_stretch(target)
        policies.append(_with(f'order-stretch-{target}', order=by_stretch))
    for off in Safeguard:
        name = f'without-{off.value}'
        policies.append(_with(name, safeguards=ALL_SAFEGUARDS - {off}))
    return {policy.name: policy for policy in policies}


def _with(name: str, **changes: object) -> Policy:
    base = PoolSettings()
    return Policy(
        name=name,
        settings=lambda: msgspec.structs.replace(base, **changes),
    )


def _choose_in_turn() -> placement.Choose:
    turn = [0]

    def choose(
        work: Work, samplers: Sequence[SamplerState]
    ) -> tuple[SamplerState, str]:
        turn[0] += 1
        return samplers[turn[0] % len(samplers)], 'next in turn'

    return choose
