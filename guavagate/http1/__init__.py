"""HTTP/1.1 server and client for forwarding, over h11 and gevent sockets.

`guavagate.web` serves this project's own API with falcon. Forwarding needs
what a web framework hides: the raw request target, the original header names,
where the bytes of a response end, and when the peer disconnects.
"""

from guavagate.http1._answer import MAX_BODY_BYTES, Answer
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
from guavagate.http1._turns import Turns
from guavagate.http1._upstream_socket import BrokenAnswerError, UpstreamSocket

__all__ = (
    'MAX_BODY_BYTES',
    'MAX_READING_BYTES',
    'Answer',
    'BodyRefusedError',
    'BodyTooLargeError',
    'BrokenAnswerError',
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
    'Turns',
    'UpstreamSocket',
    'drop_hop_by_hop',
    'find_header',
    'refuses_connections',
)
