"""Renders answers in the format of OpenAI's API."""

from typing import Final

import msgspec

from guavagate.callers._shapes import (
    Answer,
    ChatMessage,
    Choice,
    Provenance,
    Usage,
)
from guavagate.models import DeploymentId, RequestId
from guavagate.permits import Progress
from guavagate.ports.engine import Piece

DONE: Final = b'data: [DONE]\n\n'

_encode = msgspec.json.Encoder().encode


class AnswerMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """Fields common to all events of an answer."""

    request_id: RequestId
    model: DeploymentId
    created: int
    chat: bool


def render_complete(metadata: AnswerMetadata, progress: Progress) -> bytes:
    """Return the body of a complete answer."""
    if metadata.chat:
        message = ChatMessage(role='assistant', content=progress.text)
        choice = Choice(index=0, message=message, finish_reason=progress.finish)
    else:
        choice = Choice(
            index=0, text=progress.text, finish_reason=progress.finish
        )
    return _encode(_make_answer(metadata, choice, progress, complete=True))


def render_event(metadata: AnswerMetadata, piece: Piece) -> bytes:
    """Return one event of a streamed answer."""
    if metadata.chat:
        choice = Choice(
            index=0,
            delta={'content': piece.text},
            finish_reason=piece.finish,
        )
    else:
        choice = Choice(index=0, text=piece.text, finish_reason=piece.finish)
    return _format_event(_make_answer(metadata, choice, None, complete=False))


def render_end(metadata: AnswerMetadata, progress: Progress) -> bytes:
    """Return the last events: usage with provenance, then the terminal one."""
    return (
        _format_event(_make_answer(metadata, None, progress, complete=False))
        + DONE
    )


def _format_event(answer: Answer) -> bytes:
    return b'data: %b\n\n' % _encode(answer)


def _make_answer(
    metadata: AnswerMetadata,
    choice: Choice | None,
    progress: Progress | None,
    *,
    complete: bool,
) -> Answer:
    suffix = '' if complete else '.chunk'
    kind = f'chat.completion{suffix}' if metadata.chat else 'text_completion'
    usage = None
    provenance = None
    if progress is not None:
        usage = Usage(completion_tokens=progress.tokens)
        provenance = Provenance(
            request_id=metadata.request_id,
            samplers=tuple(progress.samplers),
            versions=tuple(progress.versions),
        )
    return Answer(
        id=metadata.request_id,
        object=kind,
        created=metadata.created,
        model=metadata.model,
        choices=() if choice is None else (choice,),
        usage=usage,
        guavagate=provenance,
    )
