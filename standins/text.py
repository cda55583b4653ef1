"""Deterministic text whose tokens encode prompt, index and version.

A token is ``" dddddddd.i.v"``: a digest of the prompt, the index of the token
and the weight version that generated it. From the text alone a checker can
detect a repeated or missing token, text of another request and a wrong version.
"""

import re
from typing import Final

import msgspec
import xxhash

_DIGEST_SIZE: Final = 8
_MIN_TOKENS: Final = 4
_TAG: Final = re.compile(r'\[([^\[\]]+)\]')


class Token(msgspec.Struct, frozen=True):
    """One parsed token."""

    prompt_digest: str
    index: int
    version: int


def tag_prompt(prompt: str, tag: str) -> str:
    """Append the name of the request or group to a prompt.

    Engines read the tag to record which request they run, independent of what
    lies between the caller and the engine.
    """
    return f'{prompt} [{tag}]'


def parse_tag(prompt: str) -> str:
    """Return the last tag in a prompt; empty if there is none."""
    tags = _TAG.findall(prompt)
    return tags[-1] if tags else ''


def compute_prompt_digest(prompt: str) -> str:
    """Return the digest of the prompt's tag, or of an untagged prompt."""
    name = parse_tag(prompt) or prompt
    return xxhash.xxh64_hexdigest(name.encode())[:_DIGEST_SIZE]


def make_token(prompt: str, index: int, version: int) -> str:
    """Format one token."""
    return f' {compute_prompt_digest(prompt)}.{index}.{version}'


def parse_tokens(text: str) -> list[Token]:
    """Parse a text; raise `ValueError` if it isn't made of tokens."""
    tokens = []
    for word in text.split():
        digest, index, version = word.split('.')
        tokens.append(Token(digest, int(index), int(version)))
    return tokens


def choose_length(prompt: str, seed: str, max_tokens: int) -> int:
    """Return the number of tokens of an answer; few answers are long.

    Parameters
    ----------
    seed
        Seed of the request, or its exchange id when it has none.
    """
    if max_tokens <= _MIN_TOKENS:
        return max_tokens
    digest = xxhash.xxh64_intdigest(f'{prompt}{seed}'.encode())
    share = (digest % 1000) / 1000
    return max(_MIN_TOKENS, round(max_tokens * (0.25 + 0.75 * share**4)))


def find_fault(prompt: str, text: str) -> str:
    """Return what is wrong with the text of an answer; empty if nothing.

    If `prompt` is empty, all tokens must belong to the same prompt.
    """
    try:
        tokens = parse_tokens(text)
    except ValueError:
        return 'text contains something other than tokens'
    expected = (
        compute_prompt_digest(prompt) if prompt else text[1 : _DIGEST_SIZE + 1]
    )
    if any(token.prompt_digest != expected for token in tokens):
        return 'text of another prompt'
    indexes = [token.index for token in tokens]
    if indexes != list(range(len(tokens))):
        return f'tokens repeated or missing: {indexes}'
    return ''


def count_versions(text: str) -> list[tuple[int, int]]:
    """Return ``(version, tokens)`` of consecutive tokens of one version."""
    runs: list[tuple[int, int]] = []
    for token in parse_tokens(text):
        if runs and runs[-1][0] == token.version:
            runs[-1] = (token.version, runs[-1][1] + 1)
        else:
            runs.append((token.version, 1))
    return runs
