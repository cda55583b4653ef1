"""HTTP/1.1 that passes messages on unchanged, over h11 and gevent sockets.

The pages of `guavagate.web` serve our own API with falcon; a forwarder needs
what a framework hides: the raw target, header names as they came, where an
answer's bytes end, and the moment at which the other side leaves.
"""

from guavagate.http1._caller_connection import (
    CallerDisconnectedError,
    ServerLimits,
    SlowBodyError,
)
from guavagate.http1._client import Answer, ConnectionPool
from guavagate.http1._exchange import BodyTooLargeError, Exchange
from guavagate.http1._messages import (
    Headers,
    Request,
    drop_hop_by_hop,
    find_header,
)
from guavagate.http1._server import HttpServer

__all__ = (
    'Answer',
    'BodyTooLargeError',
    'CallerDisconnectedError',
    'ConnectionPool',
    'Exchange',
    'Headers',
    'HttpServer',
    'Request',
    'ServerLimits',
    'SlowBodyError',
    'drop_hop_by_hop',
    'find_header',
)
