"""The supported subset of OpenAI's request and answer formats."""

from typing import Annotated, Final

import msgspec

from guavagate.models import DeploymentId, WeightVersion

DEFAULT_MAX_TOKENS: Final = 256
MAX_TOKENS: Final = 131_072

Tokens = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]
# Messages between instances can't encode wider integers.
Seed = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
Temperature = Annotated[float, msgspec.Meta(ge=0, le=2)]


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of ``POST /v1/completions``."""

    model: DeploymentId
    prompt: str
    max_tokens: Tokens = DEFAULT_MAX_TOKENS
    temperature: Temperature = 1.0
    seed: Seed | None = None
    stop: str | list[str] | None = None
    stream: bool = False


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a chat."""

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True, kw_only=True):
    """The body of ``POST /v1/chat/completions``."""

    model: DeploymentId
    messages: Annotated[list[ChatMessage], msgspec.Meta(min_length=1)]
    max_tokens: Tokens | None = None
    max_completion_tokens: Tokens | None = None
    temperature: Temperature = 1.0
    seed: Seed | None = None
    stop: str | list[str] | None = None
    stream: bool = False


class Provenance(msgspec.Struct, frozen=True, kw_only=True):
    """Origin of an answer: samplers in order, and tokens by version."""

    request_id: str
    samplers: tuple[str, ...]
    versions: tuple[tuple[WeightVersion, int], ...]


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token count of an answer."""

    completion_tokens: int


class Choice(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One choice in any of the four answer formats."""

    index: int
    text: str | None = None
    message: ChatMessage | None = None
    delta: dict[str, str] | None = None
    finish_reason: str | None = None


class Answer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A complete answer, or one event of a stream."""

    id: str
    object: str
    created: int
    model: DeploymentId
    choices: tuple[Choice, ...]
    usage: Usage | None = None
    guavagate: Provenance | None = None


def list_stops(stop: str | list[str] | None) -> tuple[str, ...]:
    """Return the stop sequences of a request as a tuple."""
    if stop is None:
        return ()
    return (stop,) if isinstance(stop, str) else tuple(stop)


def join_messages(messages: list[ChatMessage]) -> str:
    """Return a chat as a single prompt for the engine."""
    turns = [f'<|{turn.role}|>\n{turn.content}\n' for turn in messages]
    return ''.join([*turns, '<|assistant|>\n'])
