"""Events of admission control at entries: 8050 to 8059."""

import logging
from typing import Final

from guavagate.events._event import Event

BODY_REFUSED: Final = Event(
    8050,
    logging.WARNING,
    'A request was refused before its body was read: too little memory',
    'if this lasts, raise `memory-mb` or add entries; see the bytes held',
)
SLOW_CALLER: Final = Event(
    8051,
    logging.INFO,
    'A caller was cut off: it accepted no byte of its answer for too long',
)
CONNECTION_EVICTED: Final = Event(
    8054,
    logging.INFO,
    'A connection was closed to make room: it only waited for its caller',
    'if this lasts, look for clients that send or read slowly',
)
SERVICE_SATURATED: Final = Event(
    8052,
    logging.WARNING,
    'A service has more requests than slots; its queue owner is asked first',
    'if this lasts, add upstreams to the service',
)
QUEUE_OWNER_SILENT: Final = Event(
    8053,
    logging.WARNING,
    'A queue owner did not answer; requests go on without its permission',
    'check the owner, and the links between it and this instance',
)
