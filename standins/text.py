"""Deterministic text: each token tells prompt, index and version.

A token is ``" mmmmmmmm.i.v"``: a digest of the prompt, its index and the
weight version that made it. A checker tells a repeated or missing token, text
of another request and a wrong version from the text alone.
"""

from typing import Final

import msgspec
import xxhash

_MARK_SIZE: Final = 8
_MIN_TOKENS: Final = 4


class Token(msgspec.Struct, frozen=True):
    """One token of a text."""

    mark: str
    index: int
    version: int


def mark_prompt(prompt: str) -> str:
    """Return the digest by which tokens name their prompt."""
    return xxhash.xxh64_hexdigest(prompt.encode())[:_MARK_SIZE]


def make_token(prompt: str, index: int, version: int) -> str:
    """Return the text of one token."""
    return f' {mark_prompt(prompt)}.{index}.{version}'


def read_tokens(text: str) -> list[Token]:
    """Return the tokens of a text; raises `ValueError` when it has others."""
    tokens = []
    for word in text.split():
        mark, index, version = word.split('.')
        tokens.append(Token(mark, int(index), int(version)))
    return tokens


def count_tokens(prompt: str, seed: int | None, max_tokens: int) -> int:
    """Return how many tokens the answer has; a few answers are long.

    The length depends on prompt and seed alone, so that a resumed or repeated
    exchange ends at the same token.
    """
    if max_tokens <= _MIN_TOKENS:
        return max_tokens
    draw = xxhash.xxh64_intdigest(prompt.encode(), seed or 0)
    share = (draw % 1000) / 1000
    return max(_MIN_TOKENS, round(max_tokens * (0.25 + 0.75 * share**4)))


def find_fault(prompt: str, text: str) -> str:
    """Return what is wrong with an answer's text, or nothing."""
    try:
        tokens = read_tokens(text)
    except ValueError:
        return 'text holds what no engine made'
    if any(token.mark != mark_prompt(prompt) for token in tokens):
        return 'text of another prompt'
    indexes = [token.index for token in tokens]
    if indexes != list(range(len(tokens))):
        return f'tokens repeated or missing: {indexes}'
    return ''


def count_versions(text: str) -> list[tuple[int, int]]:
    """Return ``(version, tokens)`` for each run of one version, in order."""
    runs: list[tuple[int, int]] = []
    for token in read_tokens(text):
        if runs and runs[-1][0] == token.version:
            runs[-1] = (token.version, runs[-1][1] + 1)
        else:
            runs.append((token.version, 1))
    return runs
