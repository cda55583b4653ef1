"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Name = TypeVar('Name', bound=str)


def weigh(key: str, name: str) -> int:
    """Return a name's weight for a key; the highest weight wins."""
    return xxhash.xxh64_intdigest(f'{key}\0{name}'.encode())


def rank(key: str, names: Iterable[Name]) -> list[Name]:
    """Return the names by weight for a key, highest first.

    When a name is removed, only the keys that it won move.
    """
    return sorted(names, key=lambda name: weigh(key, name), reverse=True)
