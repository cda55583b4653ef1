"""Idempotency keys: what tells two requests under one key apart."""

import xxhash


def digest_body(method: str, path: str, body: bytes) -> str:
    """Return what tells two different requests under one key apart."""
    digest = xxhash.xxh3_128(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()
