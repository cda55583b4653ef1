"""HTTP resources ``/v1/completions`` and ``/v1/chat/completions``."""

import logging
from collections.abc import Iterator

import falcon
import msgspec

from guavagate.auth import Authenticator
from guavagate.callers import _render
from guavagate.callers._idempotency import (
    make_keyed_request,
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
    CALLER_DISCONNECTED,
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
    identify_generation,
    stream_answer,
)
from guavagate.ports.engine import Generation, ModelEngine, Piece
from guavagate.runtime import Runtime
from guavagate.settings import DeploymentSettings, TeamSettings
from guavagate.util.units import parse_duration
from guavagate.web import decode_body, encode_refusal, read_body

_LOGGER = logging.getLogger(__name__)


class CompletionContext(msgspec.Struct, frozen=True, kw_only=True):
    """The dependencies of both routes."""

    runtime: Runtime
    authenticator: Authenticator
    queue_owner: QueueOwner
    permits: PermitClient
    chooser: PoolChooser
    engine: ModelEngine
    ledger: Ledger


class _CompletionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A parsed request of either route."""

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

    def __init__(self, context: CompletionContext) -> None:
        self._context = context

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer a completion request."""
        caller_request = _open_request(self._context, request)
        raw = read_body(request)
        body = decode_body(raw, CompletionBody)
        completion = _CompletionRequest(
            model=body.model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            temperature=body.temperature,
            seed=body.seed,
            stops=list_stops(body.stop),
            stream=body.stream,
            chat=False,
        )
        answer_request(
            self._context, request, response, caller_request, completion, raw
        )


class ChatResource:
    """``POST /v1/chat/completions``."""

    def __init__(self, context: CompletionContext) -> None:
        self._context = context

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer a chat request."""
        caller_request = _open_request(self._context, request)
        raw = read_body(request)
        body = decode_body(raw, ChatBody)
        limit = body.max_completion_tokens or body.max_tokens
        completion = _CompletionRequest(
            model=body.model,
            prompt=join_messages(body.messages),
            max_tokens=limit or DEFAULT_MAX_TOKENS,
            temperature=body.temperature,
            seed=body.seed,
            stops=list_stops(body.stop),
            stream=body.stream,
            chat=True,
        )
        answer_request(
            self._context, request, response, caller_request, completion, raw
        )


def answer_request(
    context: CompletionContext,
    request: falcon.Request,
    response: falcon.Response,
    caller_request: CallerRequest,
    completion: _CompletionRequest,
    body: bytes,
) -> None:
    """Answer a request, through the ledger if it has an idempotency key.

    A generation may be repeated, so it runs again when the ledger can't
    determine the outcome. Streams are not stored; their keys are ignored.
    """
    response.set_header(HEADER_REQUEST_ID, caller_request.id)
    idempotency_key = read_idempotency_key(request)
    if completion.stream or not idempotency_key:
        _answer_unkeyed(context, caller_request, completion, response)
        return
    clock = context.runtime.clock
    keyed_request = make_keyed_request(
        request, caller_request, idempotency_key, body
    )
    try:
        answer = run_keyed(
            context.ledger,
            keyed_request,
            lambda: _run_to_completion(context, caller_request, completion),
            caller_request.deadline - clock.now(),
        )
    except RefusalError as refusal:
        if refusal.not_run is not NotRun.UNKNOWN:
            raise
        answer = _run_to_completion(context, caller_request, completion)
    _write_answer(response, answer)


def _answer_unkeyed(
    context: CompletionContext,
    caller_request: CallerRequest,
    completion: _CompletionRequest,
    response: falcon.Response,
) -> None:
    """Run a request without the ledger; send one answer or a stream."""
    if not completion.stream:
        _write_answer(
            response, _run_to_completion(context, caller_request, completion)
        )
        return
    progress = Progress()
    pieces = _start_generation(context, caller_request, completion, progress)
    try:
        # Wait for the first piece before sending the status, so that a refusal
        # has its own status and is not a broken stream.
        first = next(pieces)
    except RefusalError as refusal:
        write(
            _LOGGER,
            REQUEST_REFUSED,
            request=caller_request.id,
            reason=refusal.reason,
            not_run=refusal.not_run.value,
        )
        raise
    response.set_header(HEADER_SAMPLER, ','.join(progress.samplers))
    response.content_type = 'text/event-stream'
    metadata = _make_metadata(context, caller_request, completion)
    response.stream = _render_stream(
        caller_request, metadata, progress, first, pieces
    )


def _run_to_completion(
    context: CompletionContext,
    caller_request: CallerRequest,
    completion: _CompletionRequest,
) -> Answer:
    """Run a request to completion and return its answer."""
    progress = Progress()
    exhaust(_start_generation(context, caller_request, completion, progress))
    _log_answer(caller_request, progress)
    versions = ','.join(f'{version}' for version, _ in progress.versions)
    return Answer(
        status=200,
        headers=(
            ('Content-Type', falcon.MEDIA_JSON),
            (HEADER_VERSIONS, versions),
            (HEADER_SAMPLER, ','.join(progress.samplers)),
        ),
        body=_render.render_complete(
            _make_metadata(context, caller_request, completion), progress
        ),
    )


def _write_answer(response: falcon.Response, answer: Answer) -> None:
    response.status = answer.status
    for name, value in answer.headers:
        response.set_header(name, value)
    response.data = answer.body


def _make_metadata(
    context: CompletionContext,
    caller_request: CallerRequest,
    completion: _CompletionRequest,
) -> _render.AnswerMetadata:
    return _render.AnswerMetadata(
        request_id=caller_request.id,
        model=completion.model,
        created=int(context.runtime.clock.wall()),
        chat=completion.chat,
    )


def _open_request(
    context: CompletionContext, request: falcon.Request
) -> CallerRequest:
    return open_request(request, context.authenticator, context.runtime.clock)


def _start_generation(
    context: CompletionContext,
    caller_request: CallerRequest,
    completion: _CompletionRequest,
    progress: Progress,
) -> Iterator[Piece]:
    team, deployment = _find_deployment(
        context, caller_request, completion.model
    )
    generation = Generation(
        exchange=caller_request.id,
        prompt=completion.prompt,
        max_tokens=completion.max_tokens,
        temperature=completion.temperature,
        seed=completion.seed,
        stop=completion.stops,
    )
    work = _make_work(context, caller_request, team, generation, deployment.id)
    pool = context.chooser.choose(
        context.queue_owner.specs(), team.team, deployment.id, work
    )
    source = AnswerSource(
        client=context.permits,
        engine=context.engine,
        pool=pool,
        token_timeout=parse_duration(deployment.token_timeout),
    )
    return stream_answer(source, work, generation, progress)


def _find_deployment(
    context: CompletionContext,
    caller_request: CallerRequest,
    model: DeploymentId,
) -> tuple[TeamSettings, DeploymentSettings]:
    team = context.runtime.teams.get(caller_request.identity.team)
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


def _make_work(
    context: CompletionContext,
    caller_request: CallerRequest,
    team: TeamSettings,
    generation: Generation,
    deployment: DeploymentId,
) -> Work:
    caller = find_caller(team, caller_request.identity)
    return Work(
        id=caller_request.id,
        team=team.team,
        caller=caller_request.identity.caller,
        deadline=caller_request.deadline,
        prefix_keys=hash_prefixes(generation.prompt),
        prompt_tokens=estimate_tokens(generation.prompt),
        expected_tokens=generation.max_tokens,
        weight=caller.weight if caller else 1.0,
        team_weight=team.weight,
        zone=context.runtime.settings.availability_zone,
        identity=identify_generation(team.team, deployment, generation),
    )


def _render_stream(
    caller_request: CallerRequest,
    metadata: _render.AnswerMetadata,
    progress: Progress,
    first: Piece,
    pieces: Iterator[Piece],
) -> Iterator[bytes]:
    try:
        yield _render.render_event(metadata, first)
        for piece in pieces:
            yield _render.render_event(metadata, piece)
        yield _render.render_end(metadata, progress)
        _log_answer(caller_request, progress)
    except RefusalError as refusal:
        # The status has already been sent. The stream ends with the error and
        # without its terminal event, so that it isn't mistaken for complete.
        yield b'data: %b\n\n' % encode_refusal(refusal)
    finally:
        if progress.finish is None:
            write(_LOGGER, CALLER_DISCONNECTED, request=caller_request.id)
        pieces.close()  # type: ignore[attr-defined]


def _log_answer(caller_request: CallerRequest, progress: Progress) -> None:
    write(
        _LOGGER,
        REQUEST_ANSWERED,
        request=caller_request.id,
        samplers=progress.samplers,
        versions=progress.versions,
        tokens=progress.tokens,
    )
