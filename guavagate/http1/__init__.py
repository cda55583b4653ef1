"""HTTP/1.1 server and client for forwarding, over h11 and gevent sockets.

`guavagate.web` serves this project's own API with falcon. Forwarding needs
what a web framework hides: the raw request target, the original header names,
where the bytes of a response end, and when the peer disconnects.
"""

from guavagate.http1._answer import Answer
from guavagate.http1._caller_connection import ServerLimits, SlowBodyError
from guavagate.http1._caller_writer import (
    CallerDisconnectedError,
    SlowCallerError,
)
from guavagate.http1._client import MAX_READING_BYTES, ConnectionPool
from guavagate.http1._exchange import (
    BodyRefusedError,
    BodyTooLargeError,
    Exchange,
)
from guavagate.http1._memory import (
    ConnectionAccount,
    Evictable,
    Phase,
    ServerMemory,
)
from guavagate.http1._messages import (
    Headers,
    Request,
    drop_hop_by_hop,
    find_header,
)
from guavagate.http1._probe import refuses_connections
from guavagate.http1._server import HttpServer

__all__ = (
    'MAX_READING_BYTES',
    'Answer',
    'BodyRefusedError',
    'BodyTooLargeError',
    'CallerDisconnectedError',
    'ConnectionAccount',
    'ConnectionPool',
    'Evictable',
    'Exchange',
    'Headers',
    'HttpServer',
    'Phase',
    'Request',
    'ServerLimits',
    'ServerMemory',
    'SlowBodyError',
    'SlowCallerError',
    'drop_hop_by_hop',
    'find_header',
    'refuses_connections',
)
