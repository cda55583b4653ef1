"""Plans moves of samplers between models that shorten the longest step.

The maximum quotient of work and capacity over the models is reduced step by
step: the model with the highest one gets a sampler of another model, or a
faster one in exchange. Of these steps as many are kept as gain more than the
loads of weights that they cost.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Final

import msgspec

from guavagate.models import UpstreamId, WeightVersion
from guavagate.rollouts._capacity import (
    CapacityScore,
    Fleet,
    SpeedClass,
    classify,
    compute_capacity,
)

# A move costs a load, so all together must shorten the longest step by this
# much; moves to samplers that have the model's newest version cost none.
MIN_GAIN: Final = 0.15
MIN_FREE_GAIN: Final = 0.05
# The gain that a move must bring, as a share of the capacity of the one sampler
# that loads meanwhile.
MOVE_COST: Final = 0.25

Owners = dict[UpstreamId, str]


class MovePlan(msgspec.Struct):
    """The moves to make, in order, each of a sampler to a model.

    `gain` is the share by which all of them shorten the longest step.
    """

    moves: list[tuple[UpstreamId, str]] = []
    gain: float = 0


class _Exchange(msgspec.Struct, frozen=True):
    """A sampler of one speed class moves, perhaps in exchange for another."""

    giver: str
    taker: str
    given: SpeedClass
    returned: SpeedClass | None = None

    def apply(self, counts: dict[str, Counter[SpeedClass]], sign: int) -> None:
        """Add the exchange to the counts, or subtract it."""
        self._shift(counts, self.giver, self.taker, self.given, sign)
        if self.returned is not None:
            self._shift(counts, self.taker, self.giver, self.returned, sign)

    def _shift(
        self,
        counts: dict[str, Counter[SpeedClass]],
        giver: str,
        taker: str,
        kind: SpeedClass,
        amount: int,
    ) -> None:
        counts[giver][kind] -= amount
        counts[taker][kind] += amount


def count_kinds(
    owners: Mapping[UpstreamId, str], fleet: Fleet, models: Mapping[str, float]
) -> dict[str, Counter[SpeedClass]]:
    """Return how many samplers of each speed class each model has."""
    counts: dict[str, Counter[SpeedClass]] = {
        each: Counter() for each in models
    }
    for sampler, model in owners.items():
        counts[model][classify(fleet[sampler])] += 1
    return counts


def find_newest(fleet: Fleet) -> dict[str, WeightVersion]:
    """Return the newest version of each model that any sampler has loaded."""
    newest: dict[str, WeightVersion] = {}
    for sampler in fleet.values():
        for model, version in sampler.versions.items():
            newest[model] = max(newest.get(model, version), version)
    return newest


def plan_moves(
    owners: Owners, fleet: Fleet, weights: Mapping[str, float]
) -> MovePlan:
    """Return the moves whose gain exceeds their cost; none if no gain does."""
    score = CapacityScore(weights, map(classify, fleet.values()))
    counts = count_kinds(owners, fleet, weights)
    newest = find_newest(fleet)
    left = dict(owners)
    cost_each = MOVE_COST * len(weights) / len(fleet)
    before = max(score.compute_quotients(counts).values())
    best, best_net = MovePlan(), float(0)
    moves: list[tuple[UpstreamId, str]] = []
    paid = 0
    for _ in fleet:
        exchange = _find_exchange(score, counts, cost_each)
        if exchange is None:
            break
        exchange.apply(counts, 1)
        for sampler, model in _pick_samplers(exchange, left, fleet, newest):
            left[sampler] = model
            moves.append((sampler, model))
            paid += not is_free_move(fleet, newest, sampler, model)
        gain = 1 - max(score.compute_quotients(counts).values()) / before
        net = gain - paid * cost_each
        needed = MIN_GAIN if paid else MIN_FREE_GAIN
        if gain >= needed and net > best_net:
            best, best_net = MovePlan(list(moves), gain), net
    return best


def is_free_move(
    fleet: Fleet,
    newest: Mapping[str, WeightVersion],
    sampler: UpstreamId,
    model: str,
) -> bool:
    """Return whether a sampler already has a model's newest version."""
    return 0 < newest.get(model, 0) <= fleet[sampler].versions.get(model, 0)


def _find_exchange(
    score: CapacityScore,
    counts: dict[str, Counter[SpeedClass]],
    cost_each: float,
) -> _Exchange | None:
    """Return the exchange that helps the model with the highest quotient."""
    quotients = score.compute_quotients(counts)
    worst = max(quotients, key=quotients.__getitem__)
    best, best_key = None, tuple(sorted(quotients.values(), reverse=True))
    best_cost = best_key[0]
    for exchange in _list_exchanges(counts, worst):
        exchange.apply(counts, 1)
        changed = quotients | {
            each: score.compute_quotient(each, counts[each])
            for each in (exchange.giver, exchange.taker)
        }
        exchange.apply(counts, -1)
        key = tuple(sorted(changed.values(), reverse=True))
        moves = 1 if exchange.returned is None else 2
        cost = key[0] * (1 + moves * cost_each)
        if key < best_key and (best is None or cost < best_cost):
            best, best_cost = exchange, cost
    return best


def _list_exchanges(
    counts: Mapping[str, Counter[SpeedClass]], taker: str
) -> Iterator[_Exchange]:
    """Yield the exchanges that give a model more capacity."""
    own = [kind for kind, count in counts[taker].items() if count > 0]
    for giver, kinds in counts.items():
        if giver == taker:
            continue
        spare = sum(kinds.values()) > 1
        for kind, count in list(kinds.items()):
            if count <= 0:
                continue
            if spare:
                yield _Exchange(giver, taker, kind)
            for returned in own:
                if compute_capacity(returned) < compute_capacity(kind):
                    yield _Exchange(giver, taker, kind, returned)


def _pick_samplers(
    exchange: _Exchange,
    owners: Owners,
    fleet: Fleet,
    newest: Mapping[str, WeightVersion],
) -> list[tuple[UpstreamId, str]]:
    """Return the samplers of an exchange, preferably ones without a load."""

    def pick(giver: str, taker: str, kind: SpeedClass) -> UpstreamId:
        return min(
            (each for each, model in owners.items() if model == giver),
            key=lambda each: (
                classify(fleet[each]) != kind,
                not is_free_move(fleet, newest, each, taker),
                -fleet[each].versions.get(taker, 0),
                each,
            ),
        )

    giver, taker = exchange.giver, exchange.taker
    picked = [(pick(giver, taker, exchange.given), taker)]
    if exchange.returned is not None:
        picked.append((pick(taker, giver, exchange.returned), giver))
    return picked
