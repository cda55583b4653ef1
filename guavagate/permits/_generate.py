"""Generates one complete answer from a pool of samplers.

When a sampler fails in mid-stream, the answer resumes at another one, under a
new permit and after the last token received. The reader gets each token exactly
once, and each piece names the weight version that generated it.
"""

import collections
from collections.abc import Iterator
from typing import Final

import msgspec

from guavagate.decisions import SLOW_STREAM_FACTOR, Work
from guavagate.exceptions import RefusalError, UpstreamError
from guavagate.models import (
    DeploymentId,
    NotRun,
    RequestId,
    SamplerId,
    TeamId,
)
from guavagate.permits._client import FailedAttempt, PermitClient
from guavagate.permits._messages import Permit, Release
from guavagate.permits._progress import Progress, add_piece
from guavagate.ports.engine import Generation, ModelEngine, Piece
from guavagate.quarantine import RequestContent, RequestIdentity

# Over fewer tokens than this a single pause would dominate the token interval.
MIN_INTERVAL_TOKENS: Final = 8


class AnswerSource(msgspec.Struct, frozen=True, kw_only=True):
    """What generates one answer; `token_timeout` is in seconds."""

    client: PermitClient
    engine: ModelEngine
    pool: str
    token_timeout: float


class _Exchange(msgspec.Struct, kw_only=True):
    """Measurements of one exchange with one sampler."""

    permit: Permit
    started_at: float
    first_token_at: float | None = None
    tokens: int = 0
    ended: Release = Release.CANCELLED
    reported_slow: bool = False


def stream_answer(
    source: AnswerSource,
    work: Work,
    generation: Generation,
    progress: Progress,
) -> Iterator[Piece]:
    """Yield the pieces of one complete answer.

    Closing the iterator cancels the work upstream and releases the permit.

    Raises
    ------
    RefusalError
        No sampler gave a complete answer; `not_run` is true only when no
        exchange can have started.
    """
    failed: FailedAttempt | None = None
    started = False
    attempt = 0
    while True:
        permit = _acquire(source, work, failed, started=started)
        sent_at = source.client.now()
        try:
            yield from _run_exchange(
                source, permit, _resume(generation, progress, attempt), progress
            )
        except UpstreamError as error:
            failed = source.client.record_failure(
                permit, work, error, source.client.now() - sent_at
            )
            started = started or failed.started
            work = _exclude(work, permit)
            attempt += 1
            continue
        return


def run_speculatively(
    source: AnswerSource, permit: Permit, work: Work, generation: Generation
) -> Progress:
    """Generate a second answer for some work, from its start.

    Raises
    ------
    UpstreamError
        The speculative run failed; its permit has been released.
    """
    progress = Progress()
    started_at = source.client.now()
    exchange = RequestId(f'{generation.exchange}.copy')
    speculative = msgspec.structs.replace(generation, exchange=exchange)
    pieces = source.engine.generate(
        permit.address, speculative, source.token_timeout
    )
    # A run that is cancelled because the other one finished first reports
    # nothing: the pool has closed the work, and a reported failure would count
    # against a healthy sampler.
    try:
        for piece in pieces:
            add_piece(progress, piece, permit.upstream)
    except UpstreamError as error:
        seconds = source.client.now() - started_at
        source.client.record_failure(permit, work, error, seconds)
        source.client.end_speculative_run(permit)
        raise
    seconds = source.client.now() - started_at
    source.client.end_speculative_run(
        permit, tokens=progress.tokens, seconds=seconds
    )
    return progress


def exhaust(pieces: Iterator[Piece]) -> None:
    """Read an answer to its end; its progress collects the pieces."""
    collections.deque(pieces, maxlen=0)


def identify_generation(
    team: TeamId, deployment: DeploymentId, generation: Generation
) -> RequestIdentity:
    """Return what recognizes a generation, whatever its exchange."""
    fresh = msgspec.structs.replace(
        generation, exchange=RequestId(''), resume_text='', resume_tokens=0
    )
    return RequestContent(
        team=team,
        method='POST',
        host='',
        target=f'/{deployment}',
        body=msgspec.json.encode(fresh),
    ).identify()


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
    attempt: int,
) -> Generation:
    return msgspec.structs.replace(
        generation,
        exchange=RequestId(f'{generation.exchange}.{attempt}'),
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
            _check_token_interval(client, exchange)
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


def _check_token_interval(client: PermitClient, exchange: _Exchange) -> None:
    """Report a stream once if it is much slower than expected."""
    expected = exchange.permit.expected_pace
    first = exchange.first_token_at
    if exchange.reported_slow or not expected or first is None:
        return
    if exchange.tokens < MIN_INTERVAL_TOKENS:
        return
    token_interval = (client.now() - first) / exchange.tokens
    if token_interval > SLOW_STREAM_FACTOR * expected:
        exchange.reported_slow = True
        client.report_slow(exchange.permit, token_interval)


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
