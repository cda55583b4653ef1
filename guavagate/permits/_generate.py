"""One whole answer from a pool of samplers, over as many as it takes.

A sampler that dies in mid-stream costs a new permit and a resume from the
last token received; the one who reads the pieces sees no token twice and none
missing, and each piece names the version that made it.
"""

import collections
from collections.abc import Iterator
from typing import Final

import msgspec

from guavagate.decisions import SLOW_STREAM, Work
from guavagate.exceptions import (
    RefusalError,
    UpstreamError,
    UpstreamLeavingError,
    UpstreamNotStartedError,
)
from guavagate.models import NotRun, RequestId, SamplerId
from guavagate.permits._client import FailedAttempt, PermitClient
from guavagate.permits._messages import Permit, Release
from guavagate.permits._progress import Progress, add_piece
from guavagate.ports.engine import Generation, ModelEngine, Piece

# A pace over fewer tokens than this says more of one pause than of a sampler.
PACE_TOKENS: Final = 8


class AnswerSource(msgspec.Struct, frozen=True, kw_only=True):
    """Where one answer comes from; `token_timeout` is in seconds."""

    client: PermitClient
    engine: ModelEngine
    pool: str
    token_timeout: float


class _Exchange(msgspec.Struct, kw_only=True):
    """One exchange with one sampler, measured."""

    permit: Permit
    started_at: float
    first_token_at: float | None = None
    tokens: int = 0
    ended: Release = Release.CANCELLED
    told_slow: bool = False


def stream_answer(
    source: AnswerSource,
    work: Work,
    generation: Generation,
    progress: Progress,
) -> Iterator[Piece]:
    """Yield the pieces of one whole answer.

    Closing the iterator cancels the work upstream and returns the permit.

    Raises
    ------
    RefusalError
        No sampler gave a whole answer; `not_run` is true only when no
        exchange can have started.
    """
    failed: FailedAttempt | None = None
    started = False
    number = 0
    while True:
        permit = _acquire(source, work, failed, started=started)
        try:
            yield from _run_exchange(
                source, permit, _resume(generation, progress, number), progress
            )
        except UpstreamError as error:
            failed = describe_failure(permit, error)
            started = started or failed.started
            work = _exclude(work, permit)
            number += 1
            continue
        return


def run_speculatively(
    source: AnswerSource, permit: Permit, generation: Generation
) -> Progress:
    """Generate a second copy of some work, from its start.

    Raises
    ------
    UpstreamError
        The copy failed; its permit has been given back.
    """
    progress = Progress()
    begun = source.client.now()
    exchange = RequestId(f'{generation.exchange}.copy')
    asked = msgspec.structs.replace(generation, exchange=exchange)
    pieces = source.engine.generate(permit.address, asked, source.token_timeout)
    # A copy that is cancelled because the other was first says nothing: the
    # pool has closed the work, and a failure told would count against a
    # healthy sampler.
    try:
        for piece in pieces:
            add_piece(progress, piece, permit.upstream)
    except UpstreamError:
        source.client.end_speculative_run(permit)
        raise
    seconds = source.client.now() - begun
    source.client.end_speculative_run(
        permit, tokens=progress.tokens, seconds=seconds
    )
    return progress


def exhaust(pieces: Iterator[Piece]) -> None:
    """Read an answer to its end; its progress holds what was read."""
    collections.deque(pieces, maxlen=0)


def describe_failure(permit: Permit, error: UpstreamError) -> FailedAttempt:
    """Return what the home is told of a failed attempt."""
    return FailedAttempt(
        upstream=permit.upstream,
        started=not isinstance(error, UpstreamNotStartedError),
        leaving=isinstance(error, UpstreamLeavingError),
    )


def _acquire(
    source: AnswerSource,
    work: Work,
    failed: FailedAttempt | None,
    *,
    started: bool,
) -> Permit:
    try:
        return source.client.acquire(source.pool, work, failed)
    except RefusalError as refusal:
        if started:
            refusal.not_run = NotRun.FALSE
        raise


def _resume(
    generation: Generation,
    progress: Progress,
    number: int,
) -> Generation:
    return msgspec.structs.replace(
        generation,
        exchange=RequestId(f'{generation.exchange}.{number}'),
        resume_text=progress.text,
        resume_tokens=progress.tokens,
    )


def _exclude(work: Work, permit: Permit) -> Work:
    excluded = work.excluded | {SamplerId(permit.upstream)}
    return msgspec.structs.replace(work, excluded=excluded)


def _run_exchange(
    source: AnswerSource,
    permit: Permit,
    generation: Generation,
    progress: Progress,
) -> Iterator[Piece]:
    client = source.client
    exchange = _Exchange(permit=permit, started_at=client.now())
    pieces = source.engine.generate(
        permit.address, generation, source.token_timeout
    )
    failed = False
    try:
        for piece in pieces:
            _measure(exchange, piece, client.now())
            _watch_pace(client, exchange)
            add_piece(progress, piece, permit.upstream)
            yield piece
    except UpstreamError:
        failed = True
        raise
    finally:
        if failed:
            client.drop(permit)
        else:
            _release(client, exchange, progress)


def _measure(exchange: _Exchange, piece: Piece, now: float) -> None:
    if exchange.first_token_at is None:
        exchange.first_token_at = now
    exchange.tokens += piece.tokens
    if piece.finish:
        exchange.ended = Release.DONE


def _watch_pace(client: PermitClient, exchange: _Exchange) -> None:
    """Tell the home once when the stream is far below its expected pace."""
    expected = exchange.permit.expected_pace
    first = exchange.first_token_at
    if exchange.told_slow or not expected or first is None:
        return
    if exchange.tokens < PACE_TOKENS:
        return
    pace = (client.now() - first) / exchange.tokens
    if pace > SLOW_STREAM * expected:
        exchange.told_slow = True
        client.report_slow(exchange.permit, pace)


def _release(
    client: PermitClient,
    exchange: _Exchange,
    progress: Progress,
) -> None:
    now = client.now()
    first = exchange.first_token_at
    client.release(
        exchange.permit,
        exchange.ended,
        tokens=exchange.tokens,
        seconds=now - exchange.started_at,
        first_token_seconds=(first or now) - exchange.started_at,
        cached_tokens=progress.cached_tokens,
    )
