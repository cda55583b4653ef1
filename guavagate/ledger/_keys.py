"""Digests that detect different requests with the same idempotency key."""

import xxhash


def digest_body(method: str, path: str, body: bytes) -> str:
    """Return a digest that differs for different requests."""
    digest = xxhash.xxh3_128(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()
