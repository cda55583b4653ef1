"""Messages of the model engine protocol."""

import msgspec
import xxhash

from guavagate.integrations.model_engine.const import PREFIX_BLOCK_CHARS


class Choice(msgspec.Struct):
    """A choice in a streamed event."""

    text: str = ''
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Tokens of one event; `completion_tokens` is the total so far."""

    tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int | None = None


class StreamEvent(msgspec.Struct):
    """A server-sent event; an engine may omit the version."""

    id: str
    choices: list[Choice]
    usage: Usage = msgspec.field(default_factory=Usage)
    weight_version: int | None = None


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix that an engine stored or evicted; `seq` may have gaps."""

    seq: int
    kind: str
    prefix: str


class CacheEvents(msgspec.Struct):
    """Cache events, and the number to request from next."""

    next: int
    events: list[CacheEvent]


def compute_prefix_ids(prompt: str) -> list[str]:
    """Return the ids of a prompt's prefixes, shortest first."""
    ids = []
    digest = xxhash.xxh64()
    for end in range(PREFIX_BLOCK_CHARS, len(prompt) + 1, PREFIX_BLOCK_CHARS):
        digest.update(prompt[end - PREFIX_BLOCK_CHARS : end].encode())
        ids.append(digest.hexdigest())
    return ids
