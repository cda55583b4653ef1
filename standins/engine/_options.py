"""How an engine behaves, and its faults."""

import msgspec


class EngineOptions(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """How an engine behaves; times in seconds.

    Parameters
    ----------
    token_s
        Time a token takes when it runs alone.
    slowdown
        Added share of `token_s` when all slots are in use.
    prefill_s
        Time for a thousand prompt characters that are not cached.
    cache_blocks
        Prefix blocks that the cache holds.
    event_gap
        Share of the cache events that are never published.
    fixed_length
        Make every answer as long as it may be, for measurements.
    weight_store
        Address from which versions are fetched; without one, any version is
        at hand.
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
    """What ``POST /control/faults`` sets; what it leaves out is healthy.

    Parameters
    ----------
    crash
        End all streams by a reset and refuse connections' requests so.
    stall
        Streams stay open and send nothing more.
    slow
        Factor on all times.
    cut
        Share of streams that end early without their terminal event.
    cross
        Share of pieces that go out under another exchange's id.
    fail_swaps
        How many of the next swaps fail.
    silent_versions
        Leave the weight version out of the stream.
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
    """What is asked for; `max_tokens` includes the resumed tokens."""

    request_id: str
    prompt: str
    max_tokens: int
    temperature: float = 1.0
    seed: int | None = None
    stop: list[str] = []
    stream: bool = True
    resume_text: str = ''
    resume_tokens: int = 0
