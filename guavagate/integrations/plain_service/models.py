"""Removes hop-by-hop headers from messages of plain services."""

from collections.abc import Iterable

from guavagate.integrations.plain_service.const import CONNECTION_HEADERS

HeaderPairs = tuple[tuple[str, str], ...]


def drop_hop_by_hop(headers: Iterable[tuple[str, str]]) -> HeaderPairs:
    """Return the end-to-end headers, which are to be forwarded."""
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = CONNECTION_HEADERS | named
    return tuple(pair for pair in pairs if pair[0].lower() not in dropped)
