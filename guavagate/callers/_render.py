"""Renders answers in OpenAI's shapes."""

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
    """What all events of one answer share."""

    request_id: RequestId
    model: DeploymentId
    created: int
    chat: bool


def render_complete(style: AnswerMetadata, progress: Progress) -> bytes:
    """Return the body of a whole answer."""
    if style.chat:
        message = ChatMessage(role='assistant', content=progress.text)
        choice = Choice(index=0, message=message, finish_reason=progress.finish)
    else:
        choice = Choice(
            index=0, text=progress.text, finish_reason=progress.finish
        )
    return _encode(_make_answer(style, choice, progress, whole=True))


def render_event(style: AnswerMetadata, piece: Piece) -> bytes:
    """Return one event of a streamed answer."""
    if style.chat:
        choice = Choice(
            index=0,
            delta={'content': piece.text},
            finish_reason=piece.finish,
        )
    else:
        choice = Choice(index=0, text=piece.text, finish_reason=piece.finish)
    return _frame(_make_answer(style, choice, None, whole=False))


def render_end(style: AnswerMetadata, progress: Progress) -> bytes:
    """Return the last events: usage with provenance, then the terminal."""
    return _frame(_make_answer(style, None, progress, whole=False)) + DONE


def _frame(answer: Answer) -> bytes:
    return b'data: %b\n\n' % _encode(answer)


def _make_answer(
    style: AnswerMetadata,
    choice: Choice | None,
    progress: Progress | None,
    *,
    whole: bool,
) -> Answer:
    suffix = '' if whole else '.chunk'
    kind = f'chat.completion{suffix}' if style.chat else 'text_completion'
    usage = None
    provenance = None
    if progress is not None:
        usage = Usage(completion_tokens=progress.tokens)
        provenance = Provenance(
            request_id=style.request_id,
            samplers=tuple(progress.samplers),
            versions=tuple(progress.versions),
        )
    return Answer(
        id=style.request_id,
        object=kind,
        created=style.created,
        model=style.model,
        choices=() if choice is None else (choice,),
        usage=usage,
        guavagate=provenance,
    )
