"""Events of calls to the platform that one instance makes for all: 9200."""

import logging
from typing import Final

from guavagate.events._event import Event

REPORTER_STARTED: Final = Event(
    9201, logging.INFO, 'Who reports usage has changed, as seen from here'
)
USAGE_CLOSED: Final = Event(
    9202, logging.INFO, 'The usage of a window is settled'
)
USAGE_REPORTED: Final = Event(
    9203, logging.INFO, 'The usage of a window was reported'
)
USAGE_DELAYED: Final = Event(
    9204,
    logging.WARNING,
    'A usage report was not taken and will be sent again',
    "check that the platform's address for duties is reached from the holder",
)
USAGE_REFUSED: Final = Event(
    9205,
    logging.ERROR,
    'The platform refuses the usage of a window for good',
    'compare the record of the window with what the platform has of it',
)
USAGE_UNKNOWN: Final = Event(
    9206,
    logging.WARNING,
    'Nobody is left who counted in a window; it is not reported',
    'the requests of that window are in the logs of the entries',
)
SCALE_ORDERED: Final = Event(
    9210, logging.INFO, 'Upstreams of a service were ordered in a zone'
)
SCALE_FAILED: Final = Event(
    9211,
    logging.WARNING,
    'An order of upstreams was not taken',
    'none may be to be had there; others are ordered where they can be',
)
