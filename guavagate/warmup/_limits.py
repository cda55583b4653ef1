"""Decides how many requests an upstream may get in a window; no network.

An upstream that has just started takes few requests per second, and well above
that it crashes. It may become cold at any moment, which is known only one
registration later. The bound therefore holds for all instances together, at all
times, and also while two instances consider themselves the holder of the
budget: what the sole holder may use and what any other one may use add up to
the bound.
"""

import enum
from typing import Final, Self

import msgspec

from guavagate.ports.configuration import Warmup

# How long after it was permitted a request may still be sent.
PERMIT_SECONDS: Final = 0.1
# The bound is for any second at the upstream. A request is sent up to
# `PERMIT_SECONDS` late, and takes up to 50 ms less on its way than another one.
WINDOW_SECONDS: Final = 1.15
# The share of the bound for a holder that can't prove to be the only one.
SHARED_DIVISOR: Final = 4


class WarmupBound(msgspec.Struct, frozen=True):
    """The bound on requests to a cold upstream in any second.

    It is the rate of its service times `excess`, plus `slack`.
    """

    excess: float = 1
    slack: float = 0


class HolderRole(enum.Enum):
    """How certain it is that no other instance holds a service's budget.

    The `SOLE` holder has proven it with the service's lease, a `SHARED` one has
    not. A service without jobs has no lease, so its holders are `EQUAL`.
    """

    SOLE = 'sole'
    SHARED = 'shared'
    EQUAL = 'equal'


class StartLimits(msgspec.Struct, frozen=True, kw_only=True):
    """The largest numbers of starts at an upstream in a window, by role."""

    cold: dict[HolderRole, int]
    warm: dict[HolderRole, int]

    @classmethod
    def compute(cls, warmup: Warmup, bound: WarmupBound) -> Self:
        """Return the limits for a service.

        A cold upstream gets its rate from a holder, and two holders at once at
        most the bound.
        """
        total = int(warmup.per_second * bound.excess + bound.slack)
        half = max(total // 2, 1)
        shared = max(total // SHARED_DIVISOR, 1)
        cold = min(max(int(warmup.per_second), 1), half)
        return cls(
            cold={
                HolderRole.SOLE: cold,
                HolderRole.SHARED: min(cold, shared),
                HolderRole.EQUAL: cold,
            },
            warm={
                HolderRole.SOLE: max(total - shared, 1),
                HolderRole.SHARED: shared,
                HolderRole.EQUAL: half,
            },
        )

    def find(self, role: HolderRole, held: float, *, cold: bool) -> int:
        """Return the limit for one upstream.

        For the first window a new holder uses only what no sole holder uses,
        and nothing at a cold upstream, as its predecessor may have spent that.

        Parameters
        ----------
        held
            Seconds for which the instance has been the holder.
        """
        if held >= WINDOW_SECONDS:
            return (self.cold if cold else self.warm)[role]
        if cold:
            return 0
        return min(self.warm[HolderRole.SHARED], self.warm[role])
