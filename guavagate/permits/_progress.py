"""Collects the pieces of one answer."""

import msgspec

from guavagate.models import UpstreamId, WeightVersion
from guavagate.ports.engine import Piece


class Progress(msgspec.Struct, kw_only=True):
    """The received part of one answer, over all its exchanges."""

    texts: list[str] = msgspec.field(default_factory=list)
    tokens: int = 0
    cached_tokens: int = 0
    versions: list[tuple[WeightVersion, int]] = msgspec.field(
        default_factory=list,
    )
    samplers: list[UpstreamId] = msgspec.field(default_factory=list)
    finish: str | None = None

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return ''.join(self.texts)


def add_piece(progress: Progress, piece: Piece, sampler: UpstreamId) -> None:
    """Add a piece and its weight version to an answer."""
    progress.texts.append(piece.text)
    progress.tokens += piece.tokens
    progress.cached_tokens = max(progress.cached_tokens, piece.cached_tokens)
    progress.finish = piece.finish
    if not progress.samplers or progress.samplers[-1] != sampler:
        progress.samplers.append(sampler)
    if not piece.tokens:
        return
    if progress.versions and progress.versions[-1][0] == piece.version:
        previous = progress.versions.pop()
        progress.versions.append((piece.version, previous[1] + piece.tokens))
        return
    progress.versions.append((piece.version, piece.tokens))
