"""Measures what permits cost between an entry and a queue owner."""

from typing import Final

import msgspec

from guavagate.decisions import Work
from guavagate.links import Message
from guavagate.measure.slopes._fit import Slope, fit_slope, time_us
from guavagate.models import CallerId, RequestId, SamplerId, TeamId, UpstreamId
from guavagate.permits import (
    AskPermit,
    HeldPermit,
    HeldPermits,
    Permit,
    PermitReply,
    Release,
    ReleasePermit,
)

_POOL: Final = 'trade-waste/consent-llm/0'
_REPEATS: Final = 20
_COUNTS: Final = (16, 64, 256, 1024)


def measure_permits() -> list[Slope]:
    """Return the slopes by number of requests and of permits in use."""
    messages = _list_messages()
    size = sum(len(msgspec.msgpack.encode(one)) for one in messages)
    times = [_time_codec(messages, count) for count in _COUNTS]
    sizes = [
        len(msgspec.msgpack.encode(_make_permits_in_use(count)))
        for count in _COUNTS
    ]
    return [
        fit_slope(
            'permit messages',
            'B a request',
            _COUNTS,
            [size * count for count in _COUNTS],
        ),
        fit_slope('permit codec', 'us a request', _COUNTS, times),
        fit_slope('permits held', 'B a permit', _COUNTS, sizes),
    ]


def _make_work(number: int = 0) -> Work:
    return Work(
        id=RequestId(f'req-{number:032x}'),
        team=TeamId('trade-waste'),
        caller=CallerId('portal-web'),
        prefix_keys=tuple(range(2**60, 2**60 + 8)),
        prompt_tokens=500,
        expected_tokens=240,
    )


def _list_messages() -> list[Message]:
    work = _make_work()
    permit = Permit(
        pool=_POOL,
        work_id=work.id,
        upstream=UpstreamId('consent-llm-3'),
        address='10.20.30.40:8000',
    )
    return [
        AskPermit(pool=_POOL, work=work, remaining=58.2, wait=2),
        PermitReply(permit=permit),
        ReleasePermit(
            pool=_POOL,
            work_id=work.id,
            upstream=permit.upstream,
            ended=Release.DONE,
            tokens=240,
            seconds=12.3,
            first_token_seconds=0.2,
            cached_tokens=120,
        ),
    ]


def _time_codec(messages: list[Message], count: int) -> float:
    def run() -> None:
        for _ in range(count):
            for message in messages:
                packed = msgspec.msgpack.encode(message)
                msgspec.msgpack.decode(packed, type=type(message))

    return time_us(run, _REPEATS)


def _make_permits_in_use(count: int) -> HeldPermits:
    sampler = UpstreamId(SamplerId('consent-llm-3'))
    return HeldPermits(
        pool=_POOL,
        held=tuple(
            HeldPermit(work=_make_work(number), upstream=sampler)
            for number in range(count)
        ),
    )
