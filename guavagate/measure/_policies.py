"""Policies to measure: the product, baselines, and one safeguard disabled."""

from collections.abc import Callable, Sequence
from typing import Final

import msgspec

from guavagate.decisions import (
    ALL_SAFEGUARDS,
    Pool,
    PoolSamplerState,
    PoolSettings,
    Safeguard,
    SamplerInfo,
    Work,
    order,
    placement,
)
from guavagate.exceptions import SettingsError

# Slots for a load balancer that has no queue and sends all requests to the
# engines at once.
_UNLIMITED_SLOTS: Final = 100_000

PRODUCT: Final = 'guavagate'
FIFO: Final = 'fifo'


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Pool settings under a name; each run creates its own settings."""

    name: str
    make_settings: Callable[[], PoolSettings]
    unlimited: bool = False

    def make_pool(self, infos: Sequence[SamplerInfo]) -> Pool:
        """Create a pool of these samplers."""
        if self.unlimited:
            infos = [
                msgspec.structs.replace(info, slots=_UNLIMITED_SLOTS)
                for info in infos
            ]
        return Pool(self.make_settings(), infos, 0)


def get_policy(name: str) -> Policy:
    """Return a policy by name.

    Raises
    ------
    SettingsError
        No policy has this name.
    """
    policy = _make_policies().get(name)
    if policy is None:
        known = ', '.join(_make_policies())
        raise SettingsError(f'unknown policy {name!r}', f'use one of {known}')
    return policy


def list_policies() -> list[str]:
    """Return the names of all policies."""
    return list(_make_policies())


def _make_policies() -> dict[str, Policy]:
    policies = [
        _make_policy(PRODUCT),
        _make_policy(FIFO, safeguards=frozenset()),
        Policy(
            name='round-robin',
            make_settings=lambda: PoolSettings(
                safeguards=frozenset(), choose=_make_round_robin()
            ),
            unlimited=True,
        ),
        _make_policy('order-fifo', order=order.order_by_arrival),
        _make_policy('order-deadline', order=order.order_by_deadline),
        _make_policy('order-shortest', order=order.order_by_length),
        _make_policy('choose-least', choose=placement.choose_least_loaded),
        _make_policy('choose-two', choose=placement.choose_least_of_two),
        _make_policy('choose-rendezvous', choose=placement.choose_rendezvous),
        _make_policy('choose-modulo', choose=placement.choose_modulo),
    ]
    for target in (1, 2, 5, 10, 20, 50):
        order_by_target = order.order_by_stretch(target)
        policies.append(
            _make_policy(f'order-stretch-{target}', order=order_by_target)
        )
    for disabled in Safeguard:
        name = f'without-{disabled.value}'
        policies.append(
            _make_policy(name, safeguards=ALL_SAFEGUARDS - {disabled})
        )
    return {policy.name: policy for policy in policies}


def _make_policy(name: str, **changes: object) -> Policy:
    base = PoolSettings()
    return Policy(
        name=name,
        make_settings=lambda: msgspec.structs.replace(base, **changes),
    )


def _make_round_robin() -> placement.Choose:
    turn = [0]

    def choose(
        work: Work, samplers: Sequence[PoolSamplerState]
    ) -> tuple[PoolSamplerState, str]:
        turn[0] += 1
        return samplers[turn[0] % len(samplers)], 'next in turn'

    return choose
