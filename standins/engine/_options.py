"""Options, faults and requests of the engine stand-in."""

import msgspec


class EngineOptions(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Options of an engine; times in seconds.

    Parameters
    ----------
    token_s
        Time per token when a single request runs.
    slowdown
        Share of `token_s` that is added when all slots are in use.
    prefill_s
        Time per 1000 prompt characters that are not cached.
    cache_blocks
        Capacity of the prefix cache in blocks.
    event_gap
        Share of the cache events that are never published.
    fixed_length
        Generate `max_tokens` for every request, for measurements.
    weight_store
        Address from which versions are fetched; when empty, every version
        is available at once.
    """

    id: str = 'sampler-1'
    run: str = 'run-1'
    slots: int = 8
    token_s: float = 0.01
    slowdown: float = 1.0
    prefill_s: float = 0.02
    piece_tokens: int = 1
    cache_blocks: int = 512
    event_lag_s: float = 0.5
    event_gap: float = 0.05
    report_lag_s: float = 0.5
    swap_s: float = 0.05
    version: int = 1
    checks_fences: bool = True
    weight_store: str = ''
    max_queue: int = 256
    history: str = ''
    fixed_length: bool = False
    seed: int = 0


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``; omitted faults are cleared.

    Parameters
    ----------
    crash
        Reset the connection of every stream and every new request.
    stall
        Keep streams open without sending events.
    slow
        Factor for all times.
    cut
        Share of streams that end without their terminal event.
    cross
        Share of events that carry the id of another exchange.
    fail_swaps
        Number of swaps to fail, from the next one on.
    silent_versions
        Omit the weight version from the stream.
    """

    crash: bool = False
    stall: bool = False
    slow: float = 1
    cut: float = 0
    cross: float = 0
    fail_swaps: int = 0
    silent_versions: bool = False
    overloaded: bool = False
    leaving: bool = False


class Request(msgspec.Struct, kw_only=True):
    """Body of a completion; `max_tokens` includes the resumed tokens."""

    request_id: str
    prompt: str
    max_tokens: int
    temperature: float = 1.0
    seed: int | None = None
    stop: list[str] = []
    stream: bool = True
    resume_text: str = ''
    resume_tokens: int = 0
