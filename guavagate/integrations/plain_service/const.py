"""Names of the plain services' protocol."""

from typing import Final

PATH_REPORT: Final = '/report'

# These belong to one connection and are not passed on (RFC 9110, 7.6.1); the
# client's library sets its own.
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
