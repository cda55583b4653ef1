"""The load and fault patterns by name, with their aims and baselines."""

from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.exceptions import SettingsError
from guavagate.measure import _faults, _keys, _load, _trainers
from guavagate.measure._policies import FIFO, Policy
from guavagate.measure._scenario import Figures

ROUND_ROBIN: Final = 'round-robin'


class Aim(msgspec.Struct, frozen=True, kw_only=True):
    """A target for a figure: at most or at least a limit."""

    figure: str
    limit: float
    at_least: bool = False

    def is_met(self, value: float) -> bool:
        """Return whether a value meets the aim."""
        return value >= self.limit if self.at_least else value <= self.limit

    def describe(self) -> str:
        """Return the aim as text, such as ``p99_s ≤ 1``."""
        sign = '≥' if self.at_least else '≤'
        return f'{self.figure} {sign} {self.limit:g}'


class Pattern(msgspec.Struct, frozen=True, kw_only=True):
    """A pattern: its measurement, aims, table columns and baselines.

    `shown` names the figures that the table has besides those with an aim.
    """

    name: str
    measure: Callable[[Policy, int], Figures]
    aims: tuple[Aim, ...] = ()
    shown: tuple[str, ...] = ()
    baselines: tuple[str, ...] = (FIFO, ROUND_ROBIN)

    @property
    def summary(self) -> str:
        """Return a one-line description of the pattern."""
        return (self.measure.__doc__ or '').strip()


_CALLER_FIGURES: Final = ('in_time_share', 'refused_share', 'p50_s', 'p99_s')

PATTERNS: Final = {
    pattern.name: pattern
    for pattern in (
        Pattern(
            name='burst',
            measure=_load.measure_burst,
            aims=(
                Aim(figure='admitted_in_time', limit=1, at_least=True),
                Aim(figure='refusal_p99_s', limit=0.005),
            ),
            shown=('in_time_share', 'p99_s'),
            baselines=(FIFO, ROUND_ROBIN, 'without-admission'),
        ),
        Pattern(
            name='hot-caller',
            measure=_load.measure_hot_caller,
            aims=(Aim(figure='p99_of_calm', limit=1.15),),
            shown=('in_time_share', 'p99_s', 'p99_calm_s'),
            baselines=(FIFO, 'without-fairness', 'without-headroom'),
        ),
        Pattern(
            name='hot-key',
            measure=_keys.measure_hot_key,
            aims=(
                Aim(figure='hit_of_best', limit=0.9, at_least=True),
                Aim(figure='load_worst_of_mean', limit=1.25),
            ),
            shown=('hit_share', 'p50_s', 'p99_s'),
            baselines=(
                FIFO,
                'without-affinity',
                'without-bounded-load',
                'without-gaps',
                'choose-two',
                'choose-rendezvous',
                'choose-modulo',
            ),
        ),
        Pattern(
            name='slow-upstream',
            measure=_faults.measure_slow_upstream,
            aims=(Aim(figure='p99_of_five', limit=1.5),),
            shown=('p99_s', 'p99_five_healthy_s', 'extra_work'),
            baselines=(
                FIFO,
                ROUND_ROBIN,
                'without-ejection',
                'without-hedging',
            ),
        ),
        Pattern(
            name='long-among-short',
            measure=_load.measure_long_among_short,
            aims=(
                Aim(figure='short_stretch_p95', limit=3),
                Aim(figure='long_worst_of_fifo', limit=2),
            ),
            shown=('short_stretch_p99', 'p50_s', 'p99_s'),
            baselines=(
                FIFO,
                'without-order',
                'without-reserve',
                'order-deadline',
                'order-shortest',
            ),
        ),
        Pattern(
            name='long-at-full-load',
            measure=_load.measure_long_at_full_load,
            aims=(
                Aim(figure='short_stretch_p95', limit=3),
                Aim(figure='long_worst_of_fifo', limit=2),
            ),
            shown=('short_stretch_p99', 'p50_s', 'p99_s'),
            baselines=(FIFO, 'without-order', 'without-reserve'),
        ),
        Pattern(
            name='overload',
            measure=_load.measure_overload,
            aims=(
                Aim(figure='in_time_of_capacity', limit=0.95, at_least=True),
            ),
            shown=('admitted_in_time', 'refusal_p99_s', 'p99_s', 'jain'),
            baselines=(
                FIFO,
                ROUND_ROBIN,
                'without-admission',
                'without-expiry',
            ),
        ),
        Pattern(
            name='flapping',
            measure=_faults.measure_flapping,
            shown=('in_time_share', 'extra_work', 'p99_s'),
            baselines=(FIFO, 'without-ejection'),
        ),
        Pattern(
            name='retry-storm',
            measure=_faults.measure_retry_storm,
            aims=(
                Aim(figure='extra_work', limit=0.1),
                Aim(figure='normal_after_s', limit=5),
            ),
            shown=_CALLER_FIGURES,
            baselines=(FIFO, 'without-retry-budget', 'without-ejection'),
        ),
        Pattern(
            name='stragglers',
            measure=_trainers.measure_stragglers,
            aims=(
                Aim(figure='step_of_bound', limit=1.1),
                Aim(figure='trainer_idle_share', limit=0.03),
            ),
            shown=('staleness_mean', 'staleness_max', 'copies'),
            baselines=(
                FIFO,
                'without-tail',
                'without-order',
                'without-ejection',
            ),
        ),
        Pattern(
            name='tight-stragglers',
            measure=_trainers.measure_tight_stragglers,
            aims=(
                Aim(figure='step_of_bound', limit=1.1),
                Aim(figure='trainer_idle_share', limit=0.03),
            ),
            shown=('staleness_mean', 'staleness_max', 'copies'),
            baselines=(FIFO, 'without-tail'),
        ),
        Pattern(
            name='stalled-sampler',
            measure=_trainers.measure_stalled_sampler,
            shown=('step_of_bound', 'trainer_idle_share', 'copies'),
            baselines=(FIFO, 'without-tail', 'without-ejection'),
        ),
        Pattern(
            name='two-trainers',
            measure=_trainers.measure_two_trainers,
            shown=('first_to_second', 'jain_by_weight'),
            baselines=(FIFO, 'without-fairness'),
        ),
        Pattern(
            name='sampler-leaves',
            measure=_faults.measure_sampler_leaves,
            aims=(Aim(figure='cut', limit=0),),
            shown=('in_time_share', 'hit_share_before', 'hit_share_after'),
            baselines=(FIFO, 'choose-modulo'),
        ),
        Pattern(
            name='wrong-slots',
            measure=_load.measure_wrong_slots,
            shown=(
                'in_time_of_capacity_at_0_s',
                'in_time_of_capacity_at_180_s',
                'admitted_in_time',
            ),
            baselines=(FIFO, 'without-limit'),
        ),
        Pattern(
            name='cold-start',
            measure=_load.measure_cold_start,
            shown=('first_10s_in_time', 'in_time_share', 'p99_s'),
            baselines=(FIFO, 'without-admission'),
        ),
    )
}


def get_pattern(name: str) -> Pattern:
    """Return a pattern by name.

    Raises
    ------
    SettingsError
        No pattern has this name.
    """
    pattern = PATTERNS.get(name)
    if pattern is None:
        known = ', '.join(PATTERNS)
        raise SettingsError(f'unknown pattern {name!r}', f'use one of {known}')
    return pattern
