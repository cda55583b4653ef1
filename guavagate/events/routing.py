"""Events of routing and placement: 1000 to 1999."""

import logging
from typing import Final

from guavagate.events._event import Event

DECIDED: Final = Event(1000, logging.INFO, 'A decision was made')
PERMIT_GRANTED: Final = Event(
    1001, logging.DEBUG, 'An entry received a permit for its request'
)
PERMIT_REFUSED: Final = Event(1002, logging.INFO, 'A pool refused a request')
QUEUE_OWNER_UNREACHABLE: Final = Event(
    1003,
    logging.WARNING,
    "A pool's queue owner did not respond; the request is repeated",
    'check the named instance with `guavagate instances`',
)
POOL_TAKEN_OVER: Final = Event(
    1010, logging.INFO, 'This instance became the queue owner of a pool'
)
POOL_RELEASED: Final = Event(
    1011, logging.INFO, 'This instance is no longer the queue owner of a pool'
)
UPSTREAM_LEAVING: Final = Event(
    1012, logging.WARNING, 'An upstream is leaving and receives no new permits'
)
UPSTREAM_SERVING: Final = Event(
    1013, logging.INFO, 'An upstream accepts work again'
)
REPORT_MISSING: Final = Event(
    1014,
    logging.WARNING,
    'An upstream did not report its load',
    'check the upstream; its load is estimated until it reports',
)
PERMIT_RECLAIMED: Final = Event(
    1015,
    logging.WARNING,
    'A permit was reclaimed because its entry no longer uses it',
)
