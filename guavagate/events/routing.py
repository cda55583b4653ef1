"""Events of routing and placement: 1000 to 1999."""

import logging
from typing import Final

from guavagate.events._event import Event

DECIDED: Final = Event(1000, logging.INFO, 'decided')
PERMIT_GRANTED: Final = Event(
    1001, logging.DEBUG, 'entry holds a permit for its request'
)
PERMIT_REFUSED: Final = Event(1002, logging.INFO, 'pool refused a request')
QUEUE_OWNER_UNREACHABLE: Final = Event(
    1003,
    logging.WARNING,
    'the home of a pool gave no answer, asking again',
    'check the named instance with `guavagate instances`',
)
POOL_TAKEN_OVER: Final = Event(
    1010, logging.INFO, 'this instance is home to a pool'
)
POOL_RELEASED: Final = Event(
    1011, logging.INFO, 'this instance is no longer home to a pool'
)
UPSTREAM_LEAVING: Final = Event(
    1012, logging.WARNING, 'an upstream leaves, no new work for it'
)
UPSTREAM_SERVING: Final = Event(1013, logging.INFO, 'an upstream serves again')
REPORT_MISSING: Final = Event(
    1014,
    logging.WARNING,
    'an upstream gave no report',
    'check the upstream; until it reports, its load is guessed',
)
PERMIT_RECLAIMED: Final = Event(
    1015,
    logging.WARNING,
    'a permit that its entry no longer holds is reclaimed',
)
