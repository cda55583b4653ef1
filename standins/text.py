"""Deterministic text: each token tells prompt, index and version.

A token is ``" mmmmmmmm.i.v"``: a digest of the prompt, its index and the
weight version that made it. A checker tells a repeated or missing token, text
of another request and a wrong version from the text alone.
"""

import re
from typing import Final

import msgspec
import xxhash

_MARK_SIZE: Final = 8
_MIN_TOKENS: Final = 4
_TAG: Final = re.compile(r'\[([^\[\]]+)\]')


class Token(msgspec.Struct, frozen=True):
    """One token of a text."""

    prompt_digest: str
    index: int
    version: int


def tag_prompt(prompt: str, tag: str) -> str:
    """Return a prompt that names the request or group it is of, at its end.

    Engines learn from it for whom they run, whatever lies between.
    """
    return f'{prompt} [{tag}]'


def parse_tag(prompt: str) -> str:
    """Return the name in a prompt, or nothing."""
    tags = _TAG.findall(prompt)
    return tags[-1] if tags else ''


def compute_prompt_digest(prompt: str) -> str:
    """Return the digest by which tokens name their prompt, or its tag."""
    name = parse_tag(prompt) or prompt
    return xxhash.xxh64_hexdigest(name.encode())[:_MARK_SIZE]


def make_token(prompt: str, index: int, version: int) -> str:
    """Return the text of one token."""
    return f' {compute_prompt_digest(prompt)}.{index}.{version}'


def parse_tokens(text: str) -> list[Token]:
    """Return the tokens of a text; raises `ValueError` when it has others."""
    tokens = []
    for word in text.split():
        mark, index, version = word.split('.')
        tokens.append(Token(mark, int(index), int(version)))
    return tokens


def choose_length(prompt: str, draw: str, max_tokens: int) -> int:
    """Return how many tokens an answer has; a few answers are long.

    Parameters
    ----------
    draw
        Seed, or exchange when none was given.
    """
    if max_tokens <= _MIN_TOKENS:
        return max_tokens
    digest = xxhash.xxh64_intdigest(f'{prompt}{draw}'.encode())
    share = (digest % 1000) / 1000
    return max(_MIN_TOKENS, round(max_tokens * (0.25 + 0.75 * share**4)))


def find_fault(prompt: str, text: str) -> str:
    """Return what is wrong with an answer's text, or nothing.

    Without a prompt, all tokens must be of the same one.
    """
    try:
        tokens = parse_tokens(text)
    except ValueError:
        return 'text holds what no engine made'
    mark = compute_prompt_digest(prompt) if prompt else text[1 : _MARK_SIZE + 1]
    if any(token.prompt_digest != mark for token in tokens):
        return 'text of another prompt'
    indexes = [token.index for token in tokens]
    if indexes != list(range(len(tokens))):
        return f'tokens repeated or missing: {indexes}'
    return ''


def count_versions(text: str) -> list[tuple[int, int]]:
    """Return ``(version, tokens)`` for each run of one version, in order."""
    runs: list[tuple[int, int]] = []
    for token in parse_tokens(text):
        if runs and runs[-1][0] == token.version:
            runs[-1] = (token.version, runs[-1][1] + 1)
        else:
            runs.append((token.version, 1))
    return runs
