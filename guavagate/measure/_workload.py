"""Generate requests from a seeded random generator."""

import math
from collections.abc import Callable
from typing import Final

import msgspec
import numpy as np

from guavagate.decisions import Work, WorkKind
from guavagate.decisions._work import PREFILL_SHARE
from guavagate.measure._engine import BATCH_SLOWDOWN, TOKEN_INTERVAL_SECONDS
from guavagate.measure._record import Request
from guavagate.models import CallerId, RequestId, TeamId

TEAM: Final = TeamId('trust')
# Estimated lengths are too high or too low by up to this factor.
MAX_ERROR_FACTOR: Final = 2.0
# Callers limit the length (``max_tokens``) to this multiple of the mean.
LENGTH_LIMIT_FACTOR: Final = 4
# A prompt has this many shared prefix keys, then one of its own.
SHARED_KEYS_PER_PROMPT: Final = 3
# Shared keys are below this limit, a prompt's own key is at or above it.
_SHARED_KEY_LIMIT: Final = 1 << 20

Rng = np.random.Generator


class Stream(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the requests of one caller.

    `rate` is in requests per second, `timeout_seconds` the time from arrival to
    the deadline, and `sigma` the shape parameter of the lognormal lengths.
    """

    caller: str
    rate: float
    mean_tokens: float = 100
    sigma: float = 0.5
    timeout_seconds: float = 10
    prompt_tokens: int = 0
    weight: float = 1
    idempotent: bool = True


def compute_capacity(
    mean_tokens: float,
    samplers: int,
    slots: int,
    prompt_tokens: float = 0,
) -> float:
    """Return the requests per second that samplers serve with full batches."""
    token_interval = TOKEN_INTERVAL_SECONDS * (1 + BATCH_SLOWDOWN * (slots - 1))
    cost = mean_tokens + prompt_tokens * PREFILL_SHARE
    return samplers * slots / (cost * token_interval)


def draw_arrival_times(
    rng: Rng, rate: float, start: float, end: float
) -> np.ndarray:
    """Return the arrival times of a Poisson process."""
    count = int(rng.poisson(rate * (end - start)))
    return np.sort(rng.uniform(start, end, count))


def draw_lengths(rng: Rng, count: int, mean: float, sigma: float) -> np.ndarray:
    """Return lognormal lengths, clipped to the limit that callers set."""
    mu = math.log(mean) - sigma * sigma / 2
    lengths = rng.lognormal(mu, sigma, count)
    limit = LENGTH_LIMIT_FACTOR * mean
    return np.clip(lengths.round(), 1, limit).astype(int)


def draw_estimate_errors(rng: Rng, count: int) -> np.ndarray:
    """Return random factors between estimated and actual lengths."""
    return MAX_ERROR_FACTOR ** rng.uniform(-1, 1, count)


def draw_requests(
    rng: Rng,
    stream: Stream,
    start: float,
    end: float,
    draw_prefixes: Callable[[int], np.ndarray] | None = None,
) -> list[Request]:
    """Return the requests of a caller between two times.

    `draw_prefixes` returns the index of the shared prefix of each request.
    """
    times = draw_arrival_times(rng, stream.rate, start, end)
    lengths = draw_lengths(rng, len(times), stream.mean_tokens, stream.sigma)
    errors = draw_estimate_errors(rng, len(times))
    prefixes = (
        draw_prefixes(len(times))
        if draw_prefixes
        else np.zeros(len(times), int)
    )
    requests: list[Request] = []
    for at, tokens, error, prefix in zip(
        times, lengths, errors, prefixes, strict=True
    ):
        name = f'{stream.caller}-{start:g}-{len(requests)}'
        keys: tuple[int, ...] = ()
        if draw_prefixes:
            own_key = int(rng.integers(_SHARED_KEY_LIMIT, _SHARED_KEY_LIMIT**2))
            keys = (*make_shared_keys(int(prefix)), own_key)
        work = Work(
            id=RequestId(name),
            team=TEAM,
            caller=CallerId(stream.caller),
            kind=WorkKind.INTERACTIVE,
            deadline=float(at) + stream.timeout_seconds,
            prefix_keys=keys,
            prompt_tokens=stream.prompt_tokens,
            expected_tokens=clamp_estimate(tokens * error, stream.mean_tokens),
            weight=stream.weight,
            idempotent=stream.idempotent,
        )
        requests.append(make_request(float(at), work, int(tokens)))
    return requests


def clamp_estimate(estimate: float, mean: float) -> int:
    """Round an estimate and clamp it to the limit that callers set."""
    return max(min(round(float(estimate)), int(LENGTH_LIMIT_FACTOR * mean)), 1)


def make_shared_keys(prefix: int) -> tuple[int, ...]:
    """Return the keys of a shared prefix."""
    return tuple(
        prefix * SHARED_KEYS_PER_PROMPT + level
        for level in range(SHARED_KEYS_PER_PROMPT)
    )


def make_request(at: float, work: Work, tokens: int) -> Request:
    """Return a request with the seconds it takes on an idle sampler."""
    alone = (
        tokens + work.prompt_tokens * PREFILL_SHARE
    ) * TOKEN_INTERVAL_SECONDS
    return Request(at=at, work=work, tokens=tokens, alone=alone)
