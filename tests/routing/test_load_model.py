"""What probes of the health path are worth, by a small model of the load.

Many instances send short work to three upstreams whose machines slow down in
spells. A way to probe that is not used must not be worth its cost, and the one
that is used must be. The upstreams have three times the slots that are used,
so nothing queues in the model. `main` prints the figures of
docs/design/load-reports.md.
"""

import itertools
import random
from collections import Counter
from collections.abc import Sequence
from typing import Final

import msgspec

from guavagate.decisions.retries import HEDGE_SHARE, Budget
from guavagate.forwarding._forward import HEDGE_DELAY_SHARE
from guavagate.models import ServiceId, UpstreamId, ZoneId
from guavagate.ports.load import LoadReport
from guavagate.ports.upstreams import Upstream
from guavagate.routing import Load, choose_upstream

_SPELL: Final = 0.6
_WORK: Final = 0.031
_OBJECTIVE: Final = 0.191
# An idle connection is reused for nine seconds, and probed after eight.
_IDLE: Final = 9
_KEEP_AFTER: Final = 8
# What a new connection costs, in probes.
_CONNECTION: Final = 30
_WAYS: Final = ('never', 'before', 'beside', 'hedge', 'known')
_UPSTREAMS: Final = tuple(
    Upstream(
        id=UpstreamId(each),
        service=ServiceId('s'),
        address=each,
        zone=ZoneId(each),
        slots=6,
    )
    for each in ('z0', 'z1', 'z2')
)


class _Setup(msgspec.Struct, frozen=True, kw_only=True):
    """`way`: when upstreams are probed for the choice, over idle connections.

    `keep`: how many probes in a row keep an idle connection. `all_idle`: there
    is one to each upstream at any time.
    """

    way: str = 'never'
    keep: int = 0
    all_idle: bool = False
    hedged: bool = True
    instances: int = 73


class _Day:
    def __init__(self, setup: _Setup, seed: int) -> None:
        self.setup = setup
        self.random = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.seconds: list[float] = []
        self._spells: dict[tuple[str, int], float] = {}
        rate = 6 / setup.instances
        for number in range(setup.instances):
            self._zone = f'z{number % 3}'
            self._loads: dict[str, Load] = {}
            self._idle: dict[str, tuple[float, int]] = {}
            hedges = Budget(HEDGE_SHARE)
            at = self.random.expovariate(rate)
            while at < 60:
                self.seconds.append(self._send(at, hedges) - at)
                at += self.random.expovariate(rate)
            for each in _UPSTREAMS:
                self._is_idle(each.id, 60)

    def _slowdown(self, name: str, at: float) -> float:
        key = name, int(at / _SPELL)
        if key not in self._spells:
            slow = self.random.random() < 0.15
            self._spells[key] = 2.5 if slow else 1
        return self._spells[key]

    def _is_idle(self, name: str, at: float) -> bool:
        since, left = self._idle.get(name, (-1e9, 0))
        while left and at - since > _KEEP_AFTER:
            since, left = since + _KEEP_AFTER, left - 1
            self.counts['probes'] += 1
        self._idle[name] = since, left
        return self.setup.all_idle or at - since <= _IDLE

    def _probe(self, names: Sequence[str], at: float) -> None:
        """Read the slowdown of upstreams with an idle connection."""
        for name in names:
            if self.setup.way == 'known' or self._is_idle(name, at):
                self.counts['probes'] += self.setup.way != 'known'
                slowdown = LoadReport(slowdown=self._slowdown(name, at))
                self._loads[name] = Load(report=slowdown, report_at=at)

    def _send(self, at: float, hedges: Budget) -> float:
        """Return when a request is answered."""
        way, names = self.setup.way, [each.id for each in _UPSTREAMS]
        idle = [each for each in names if self._is_idle(each, at)]
        begin = at
        if way == 'known' or (way == 'before' and len(idle) > 1):
            self._probe(names, at)
            begin += 0.0016 * (way == 'before')
        first, done = self._attempt(begin, '')
        others = [each for each in names if each != first]
        if way == 'beside':
            self._probe(others, at)
        hedge_at = at + _OBJECTIVE * HEDGE_DELAY_SHARE
        winner = first
        if self.setup.hedged and done > hedge_at and hedges.spend():
            if way in {'hedge', 'known'}:
                self._probe(others, hedge_at)
            second, second_done = self._attempt(hedge_at, first)
            if second_done < done:
                winner, done = second, second_done
        hedges.earn()
        self._idle[winner] = done, self.setup.keep
        return done

    def _attempt(self, at: float, tried: str) -> tuple[str, float]:
        """Return the chosen upstream, and when its answer arrives."""
        chosen = choose_upstream(
            [each for each in _UPSTREAMS if each.id != tried],
            self._loads,
            self._zone,
            at,
            self.random,
            lambda address: self._is_idle(address, at),
        )
        assert chosen is not None
        low = 0.0002 if chosen.id == self._zone else 0.0012
        travel = self.random.uniform(low, low + 0.0006)
        if not self._is_idle(chosen.id, at):
            self.counts['connections'] += 1
            at += travel
        # A cancelled attempt's connection is closed.
        self._idle.pop(chosen.id, None)
        work = _WORK * (7 if self.random.random() < 0.03 else 1)
        at += travel / 2
        while work > 1e-9:
            slowdown = self._slowdown(chosen.id, at)
            step = min(work, (_SPELL - at % _SPELL) / slowdown + 1e-6)
            work -= step
            at += step * slowdown
        return chosen.id, at + travel / 2


class _Figures:
    """Latencies in milliseconds, and what is counted per request."""

    def __init__(self, days: int = 24, **fields: object) -> None:
        setup = _Setup(**fields)  # type: ignore[arg-type]
        played = [_Day(setup, seed) for seed in range(days)]
        seconds = sorted(one for day in played for one in day.seconds)
        size = len(seconds)
        self.p50, self.p95, self.p99 = (
            1000 * seconds[size * share // 100] for share in (50, 95, 99)
        )
        self.late = sum(each > _OBJECTIVE for each in seconds) / size
        counts = sum((day.counts for day in played), Counter[str]())
        self.probes = counts['probes'] / size
        self.connections = counts['connections'] / size
        self.price = self.probes + _CONNECTION * self.connections


def test_probes_for_the_choice_are_not_worth_their_cost() -> None:
    """There is rarely a second idle connection to choose.

    An instance sends a request every twelve seconds, and upstreams close idle
    connections after ten.
    """
    never = _Figures()
    for way in ('before', 'beside', 'hedge'):
        probed = _Figures(way=way)
        assert probed.probes < 0.02
        assert probed.late > never.late - 0.0005


def test_knowing_all_slowdowns_makes_no_request_less_late() -> None:
    """Slowed work takes 78 ms of an objective of 191 ms, and is in time.

    What is late is the tail, after a hedge that met it too.
    """
    never, known = _Figures(all_idle=True), _Figures(all_idle=True, way='known')
    assert known.p95 < never.p95 / 2
    assert known.late > never.late - 0.0005


def test_probes_that_keep_connections_are_worth_their_cost() -> None:
    """Four in a row keep most connections until the next request."""
    never, kept = _Figures(), _Figures(keep=4)
    assert kept.price < 0.6 * never.price
    assert kept.late < never.late + 0.0005


def main() -> None:
    """Print the figures of all setups."""
    ways = [(way, 0) for way in _WAYS] + [('never', 2), ('never', 4)]
    for all_idle, hedged in itertools.product((False, True), (True, False)):
        for way, keep in ways:
            figures = _Figures(
                400, way=way, keep=keep, all_idle=all_idle, hedged=hedged
            )
            print(f'{all_idle=} {hedged=} {way=} {keep=}', vars(figures))  # noqa: T201, WPS421


if __name__ == '__main__':
    main()
