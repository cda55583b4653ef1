"""Sixty instances before three upstreams that all hang for eight seconds."""

import random
from collections import Counter

from guavagate.forwarding import OutcomeKind
from guavagate.ports.configuration import RouteKind
from tests.forwarding.outage_fleet import OBJECTIVE, End, Mood, OutageFleet

_RATE = 6
_DAY_SECONDS = 20
_HANGS = (4, 12)
_LIMIT = 0.8


def _play(*, with_probes: bool) -> tuple[OutageFleet, list[End]]:
    """Return the ends of the requests that were sent while all hung."""
    names = [f'i{number:02}' for number in range(60)]
    fleet = OutageFleet(*names, with_probes=with_probes)
    rng = random.Random(1)
    clock, began_at = fleet.clock, fleet.clock.now()
    for mood, at in zip((Mood.HANGS, Mood.WELL), _HANGS, strict=True):
        clock.call_at(began_at + at, lambda mood=mood: fleet.set_mood(mood))  # type: ignore[misc]
    sent: list[tuple[float, list[End]]] = []
    at = rng.expovariate(_RATE)
    while at < _DAY_SECONDS:
        clock.advance(began_at + at - clock.now())
        kind = rng.choice([RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
        _, ends = fleet.start(rng.choice(names), kind, _LIMIT)
        sent.append((at, ends))
        at += rng.expovariate(_RATE)
    clock.advance(2)
    after = [ends[0] for at, ends in sent if at > _HANGS[1] + 0.5]
    assert {each.outcome.kind for each in after} == {OutcomeKind.ANSWER}
    # Those that are sent last are answered when the upstreams go on.
    low, high = _HANGS[0], _HANGS[1] - _LIMIT
    return fleet, [ends[0] for at, ends in sent if low <= at < high]


def _summarize(fleet: OutageFleet, ends: list[End]) -> str:
    kinds = Counter(each.outcome.kind.value for each in ends)
    held = sum(each.seconds for each in ends)
    return (
        f'{len(ends)} requests, {dict(kinds)}, held for {held:.1f} s,'
        f' {fleet.probes} probes, {fleet.connections} connections,'
        f' messages {dict(fleet.world.network.messages)}'
    )


def test_few_requests_are_held_while_all_upstreams_hang() -> None:
    """Each instance sends a request in ten seconds, and learns from others.

    All requests would be held until their deadlines, without a word on when
    to return. Those refused have run nowhere and did not wait.
    """
    _, unprobed = _play(with_probes=False)
    fleet, ends = _play(with_probes=True)
    summary = _summarize(fleet, ends)
    refused = [
        each for each in ends if each.outcome.kind is OutcomeKind.NOT_RUN
    ]
    assert all(each.outcome.began_at is None for each in refused), summary
    assert all(each.seconds <= OBJECTIVE / 4 for each in refused), summary
    assert len(refused) > 0.8 * len(ends), summary
    held = sum(each.seconds for each in ends)
    assert held < 0.2 * sum(each.seconds for each in unprobed), summary
    assert len({each.outcome.retry_after for each in refused}) > 20, summary


if __name__ == '__main__':
    for with_probes in (False, True):
        print(_summarize(*_play(with_probes=with_probes)))  # noqa: T201, WPS421
