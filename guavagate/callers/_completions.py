"""``/v1/completions`` and ``/v1/chat/completions``."""

import logging
from collections.abc import Iterator

import falcon
import msgspec

from guavagate.auth import Authenticator
from guavagate.callers import _render
from guavagate.callers._idempotency import (
    make_once_request,
    read_idempotency_key,
    run_keyed,
)
from guavagate.callers._request import (
    CallerRequest,
    find_caller,
    open_request,
)
from guavagate.callers._shapes import (
    DEFAULT_MAX_TOKENS,
    ChatBody,
    CompletionBody,
    join_messages,
    list_stops,
)
from guavagate.const import HEADER_REQUEST_ID, HEADER_SAMPLER, HEADER_VERSIONS
from guavagate.decisions import Work
from guavagate.events import write
from guavagate.events.edge import (
    CALLER_GONE,
    REQUEST_ANSWERED,
    REQUEST_REFUSED,
)
from guavagate.exceptions import RefusalError
from guavagate.ledger import Answer, Ledger
from guavagate.models import DeploymentId, NotRun
from guavagate.permits import (
    AnswerSource,
    PermitClient,
    PoolChooser,
    Progress,
    QueueOwner,
    estimate_tokens,
    exhaust,
    hash_prefixes,
    stream_answer,
)
from guavagate.ports.engine import Generation, ModelEngine, Piece
from guavagate.runtime import Runtime
from guavagate.settings import DeploymentSettings, TeamSettings
from guavagate.util.units import parse_duration
from guavagate.web import decode_body, encode_refusal, read_body

_LOGGER = logging.getLogger(__name__)


class CompletionContext(msgspec.Struct, frozen=True, kw_only=True):
    """What both routes work with."""

    runtime: Runtime
    authenticator: Authenticator
    queue_owner: QueueOwner
    permits: PermitClient
    chooser: PoolChooser
    engine: ModelEngine
    ledger: Ledger


class _Ask(msgspec.Struct, frozen=True, kw_only=True):
    """One parsed request, whatever route it came by."""

    model: DeploymentId
    prompt: str
    max_tokens: int
    temperature: float
    seed: int | None
    stops: tuple[str, ...]
    stream: bool
    chat: bool


class CompletionsResource:
    """``POST /v1/completions``."""

    def __init__(self, parts: CompletionContext) -> None:
        self._parts = parts

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer a completion request."""
        opened = _open(self._parts, request)
        raw = read_body(request)
        body = decode_body(raw, CompletionBody)
        ask = _Ask(
            model=body.model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            temperature=body.temperature,
            seed=body.seed,
            stops=list_stops(body.stop),
            stream=body.stream,
            chat=False,
        )
        answer_request(self._parts, request, response, opened, ask, raw)


class ChatResource:
    """``POST /v1/chat/completions``."""

    def __init__(self, parts: CompletionContext) -> None:
        self._parts = parts

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer a chat request."""
        opened = _open(self._parts, request)
        raw = read_body(request)
        body = decode_body(raw, ChatBody)
        limit = body.max_completion_tokens or body.max_tokens
        ask = _Ask(
            model=body.model,
            prompt=join_messages(body.messages),
            max_tokens=limit or DEFAULT_MAX_TOKENS,
            temperature=body.temperature,
            seed=body.seed,
            stops=list_stops(body.stop),
            stream=body.stream,
            chat=True,
        )
        answer_request(self._parts, request, response, opened, ask, raw)


def answer_request(
    parts: CompletionContext,
    request: falcon.Request,
    response: falcon.Response,
    opened: CallerRequest,
    ask: _Ask,
    body: bytes,
) -> None:
    """Answer a request, through the ledger when it carries a key.

    A generation may run again, so an outcome that the ledger can't tell is no
    reason to refuse one. A stream is not kept: its key is not looked at.
    """
    response.set_header(HEADER_REQUEST_ID, opened.id)
    key = read_idempotency_key(request)
    if ask.stream or not key:
        _answer_ask(parts, opened, ask, response)
        return
    clock = parts.runtime.clock
    once = make_once_request(request, opened, key, body)
    try:
        answer = run_keyed(
            parts.ledger,
            once,
            lambda: _run_whole(parts, opened, ask),
            opened.deadline - clock.now(),
        )
    except RefusalError as refusal:
        if refusal.not_run is not NotRun.UNKNOWN:
            raise
        answer = _run_whole(parts, opened, ask)
    _write_answer(response, answer)


def _answer_ask(
    parts: CompletionContext,
    opened: CallerRequest,
    ask: _Ask,
    response: falcon.Response,
) -> None:
    """Run a request and answer it, whole or as a stream."""
    if not ask.stream:
        _write_answer(response, _run_whole(parts, opened, ask))
        return
    progress = Progress()
    pieces = _start(parts, opened, ask, progress)
    try:
        # The first piece is awaited before the status is sent, so that a
        # refusal is a refusal and not a broken stream.
        first = next(pieces)
    except RefusalError as refusal:
        write(
            _LOGGER,
            REQUEST_REFUSED,
            request=opened.id,
            reason=refusal.reason,
            not_run=refusal.not_run.value,
        )
        raise
    response.set_header(HEADER_SAMPLER, ','.join(progress.samplers))
    response.content_type = 'text/event-stream'
    style = _make_style(parts, opened, ask)
    response.stream = _stream(opened, style, progress, first, pieces)


def _run_whole(
    parts: CompletionContext, opened: CallerRequest, ask: _Ask
) -> Answer:
    """Run a request to its end and return its answer."""
    progress = Progress()
    exhaust(_start(parts, opened, ask, progress))
    _log_answer(opened, progress)
    versions = ','.join(f'{version}' for version, _ in progress.versions)
    return Answer(
        status=200,
        headers=(
            ('Content-Type', falcon.MEDIA_JSON),
            (HEADER_VERSIONS, versions),
            (HEADER_SAMPLER, ','.join(progress.samplers)),
        ),
        body=_render.render_complete(_make_style(parts, opened, ask), progress),
    )


def _write_answer(response: falcon.Response, answer: Answer) -> None:
    response.status = answer.status
    for name, value in answer.headers:
        response.set_header(name, value)
    response.data = answer.body


def _make_style(
    parts: CompletionContext, opened: CallerRequest, ask: _Ask
) -> _render.AnswerMetadata:
    return _render.AnswerMetadata(
        request_id=opened.id,
        model=ask.model,
        created=int(parts.runtime.clock.wall()),
        chat=ask.chat,
    )


def _open(parts: CompletionContext, request: falcon.Request) -> CallerRequest:
    return open_request(request, parts.authenticator, parts.runtime.clock)


def _start(
    parts: CompletionContext,
    opened: CallerRequest,
    ask: _Ask,
    progress: Progress,
) -> Iterator[Piece]:
    team, deployment = _find_deployment(parts, opened, ask.model)
    work = _describe(parts, opened, team, ask)
    pool = parts.chooser.choose(
        parts.queue_owner.specs(), team.team, deployment.id, work
    )
    source = AnswerSource(
        client=parts.permits,
        engine=parts.engine,
        pool=pool,
        token_timeout=parse_duration(deployment.token_timeout),
    )
    generation = Generation(
        exchange=opened.id,
        prompt=ask.prompt,
        max_tokens=ask.max_tokens,
        temperature=ask.temperature,
        seed=ask.seed,
        stop=ask.stops,
    )
    return stream_answer(source, work, generation, progress)


def _find_deployment(
    parts: CompletionContext,
    opened: CallerRequest,
    model: DeploymentId,
) -> tuple[TeamSettings, DeploymentSettings]:
    team = parts.runtime.teams.get(opened.identity.team)
    if team is not None:
        for deployment in team.deployments:
            if deployment.id == model:
                return team, deployment
    raise RefusalError(
        f'model {model!r} is no deployment of your team',
        'use the id of a deployment; `guavagate deployments` lists them',
        reason='unknown_deployment',
        status=404,
    )


def _describe(
    parts: CompletionContext,
    opened: CallerRequest,
    team: TeamSettings,
    ask: _Ask,
) -> Work:
    caller = find_caller(team, opened.identity)
    return Work(
        id=opened.id,
        team=team.team,
        caller=opened.identity.caller,
        deadline=opened.deadline,
        prefix_keys=hash_prefixes(ask.prompt),
        prompt_tokens=estimate_tokens(ask.prompt),
        expected_tokens=ask.max_tokens,
        weight=caller.weight if caller else 1.0,
        team_weight=team.weight,
        zone=parts.runtime.settings.availability_zone,
    )


def _stream(
    opened: CallerRequest,
    style: _render.AnswerMetadata,
    progress: Progress,
    first: Piece,
    pieces: Iterator[Piece],
) -> Iterator[bytes]:
    try:
        yield _render.render_event(style, first)
        for piece in pieces:
            yield _render.render_event(style, piece)
        yield _render.render_end(style, progress)
        _log_answer(opened, progress)
    except RefusalError as refusal:
        # The status has been sent; the stream says so and lacks its terminal
        # event, so that no caller takes the part for the whole.
        yield b'data: %b\n\n' % encode_refusal(refusal)
    finally:
        if progress.finish is None:
            write(_LOGGER, CALLER_GONE, request=opened.id)
        pieces.close()  # type: ignore[attr-defined]


def _log_answer(opened: CallerRequest, progress: Progress) -> None:
    write(
        _LOGGER,
        REQUEST_ANSWERED,
        request=opened.id,
        samplers=progress.samplers,
        versions=progress.versions,
        tokens=progress.tokens,
    )
