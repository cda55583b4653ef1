"""Names of the plain service protocol."""

from typing import Final

PATH_REPORT: Final = '/report'

# Hop-by-hop headers (RFC 9110, 7.6.1) and those that the client library sets
# itself; they are not forwarded.
CONNECTION_HEADERS: Final = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    )
)
