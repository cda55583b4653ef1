"""What probes of the health path are worth, by a small model of the load.

73 instances send six requests a second to three upstreams whose machines slow
down in spells. A third of the slots is in use, so nothing queues in the model.
docs/design/load-reports.md has its figures.
"""

import random
from collections import Counter
from typing import Any, Final

from guavagate.decisions.retries import HEDGE_SHARE, Budget
from guavagate.forwarding._forward import HEDGE_DELAY_SHARE
from guavagate.ports.load import LoadReport
from guavagate.routing import Load, choose_upstream
from tests.routing.test_routes import make_upstream

_SPELL, _WORK, _OBJECTIVE = 0.6, 0.031, 0.191
# An idle connection is used for nine seconds, and kept by a probe after eight.
_IDLE, _KEEP_AFTER = 9, 8
_CONNECTION_PROBES: Final = 30
_NAMES: Final = ('z0', 'z1', 'z2')


class _Day:
    """`way`: when upstreams with an idle connection are probed for the choice.

    `keep`: how many probes in a row keep an idle connection. `all_idle`: there
    is one to each upstream at any time.
    """

    def __init__(
        self, seed: int, way: str, keep: int, *, all_idle: bool, hedged: bool
    ) -> None:
        self.way, self.keep = way, keep
        self.all_idle, self.hedged = all_idle, hedged
        self.random = random.Random(seed)
        self.counts: Counter[str] = Counter()
        self.seconds: list[float] = []
        self._spells: dict[tuple[str, int], float] = {}
        for number in range(73):
            self._zone = f'z{number % 3}'
            self._loads: dict[str, Load] = {}
            self._idle = dict.fromkeys(_NAMES, (-1e9, 0))
            hedges = Budget(HEDGE_SHARE)
            at = self.random.expovariate(6 / 73)
            while at < 60:
                self.seconds.append(self._send(at, hedges) - at)
                at += self.random.expovariate(6 / 73)
            for name in _NAMES:
                self._is_idle(name, 60)

    def _slowdown(self, name: str, at: float) -> float:
        factor = 2.5 if self.random.random() < 0.15 else 1
        return self._spells.setdefault((name, int(at / _SPELL)), factor)

    def _is_idle(self, name: str, at: float) -> bool:
        since, left = self._idle[name]
        while left and at - since > _KEEP_AFTER:
            since, left = since + _KEEP_AFTER, left - 1
            self.counts['probes'] += 1
        self._idle[name] = since, left
        return self.all_idle or at - since <= _IDLE

    def _probe(self, at: float, but: str = '') -> None:
        known = self.way == 'known'
        for name in _NAMES:
            if name != but and (known or self._is_idle(name, at)):
                self.counts['probes'] += not known
                report = LoadReport(slowdown=self._slowdown(name, at))
                self._loads[name] = Load(report=report, report_at=at)

    def _send(self, at: float, hedges: Budget) -> float:
        """Return when a request is answered."""
        begin = at
        idle = sum(self._is_idle(each, at) for each in _NAMES)
        if self.way == 'known' or (self.way == 'before' and idle > 1):
            self._probe(at)
            begin += 0.0016 * (self.way == 'before')
        first, done = self._attempt(begin)
        if self.way == 'beside':
            self._probe(at, first)
        winner, hedge_at = first, at + _OBJECTIVE * HEDGE_DELAY_SHARE
        if self.hedged and done > hedge_at and hedges.spend():
            if self.way in {'hedge', 'known'}:
                self._probe(hedge_at, first)
            second, second_done = self._attempt(hedge_at, first)
            if second_done < done:
                winner, done = second, second_done
        hedges.earn()
        self._idle[winner] = done, self.keep
        return done

    def _attempt(self, at: float, tried: str = '') -> tuple[str, float]:
        """Return the chosen upstream, and when its answer arrives."""
        chosen = choose_upstream(
            [
                make_upstream(each, each, each)
                for each in _NAMES
                if each != tried
            ],
            self._loads,
            self._zone,
            at,
            self.random,
            lambda address: self._is_idle(address, at),
        )
        assert chosen is not None
        low = 0.0002 if chosen.id == self._zone else 0.0012
        travel = self.random.uniform(low, low + 0.0006)
        new = not self._is_idle(chosen.id, at)
        self.counts['connections'] += new
        # A cancelled attempt's connection is closed.
        self._idle[chosen.id] = -1e9, 0
        work = _WORK * (7 if self.random.random() < 0.03 else 1)
        at += travel * (0.5 + new)
        while work > 1e-9:
            slowdown = self._slowdown(chosen.id, at)
            step = min(work, (_SPELL - at % _SPELL) / slowdown + 1e-6)
            work -= step
            at += step * slowdown
        return chosen.id, at + travel / 2


def _play(
    way: str = 'never',
    keep: int = 0,
    days: int = 24,
    *,
    all_idle: bool = False,
    hedged: bool = True,
) -> dict[str, Any]:
    """Return latencies in milliseconds, and what is counted per request."""
    played = [
        _Day(seed, way, keep, all_idle=all_idle, hedged=hedged)
        for seed in range(days)
    ]
    seconds = sorted(one for day in played for one in day.seconds)
    size = len(seconds)
    counts = sum((day.counts for day in played), Counter[str]())
    figures = {each: counts[each] / size for each in ('probes', 'connections')}
    for share in (50, 95, 99):
        figures[f'p{share}'] = 1000 * seconds[size * share // 100]
    figures['late'] = sum(each > _OBJECTIVE for each in seconds) / size
    return figures


def test_probes_for_the_choice_are_not_worth_their_cost() -> None:
    """There is rarely a second idle connection to choose.

    An instance sends a request every twelve seconds, and upstreams close idle
    connections after ten. Knowing all slowdowns would not help either: slowed
    work takes 78 ms of an objective of 191 ms. Late is what met the tail twice.
    """
    never = _play()
    for way in ('before', 'beside', 'hedge'):
        probed = _play(way)
        assert probed['probes'] < 0.02
        assert probed['late'] > never['late'] - 0.0005
    never, known = _play(all_idle=True), _play('known', all_idle=True)
    assert known['p95'] < never['p95'] / 2
    assert known['late'] > never['late'] - 0.0005


def test_probes_that_keep_connections_are_worth_their_cost() -> None:
    """Four in a row keep most connections until the next request."""
    never, kept = _play(), _play(keep=4)
    saved = never['connections'] - kept['connections']
    assert saved * _CONNECTION_PROBES > 4 * kept['probes']
    assert kept['late'] < never['late'] + 0.0005
