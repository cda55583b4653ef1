"""Events of usage reporting and scaling: 9200 to 9299."""

import logging
from typing import Final

from guavagate.events._event import Event

REPORTER_STARTED: Final = Event(
    9201, logging.INFO, 'This instance now reports usage to the platform'
)
USAGE_CLOSED: Final = Event(
    9202, logging.INFO, 'A usage window was closed; its counts are final'
)
USAGE_REPORTED: Final = Event(
    9203, logging.INFO, 'The usage of a window was reported to the platform'
)
USAGE_DELAYED: Final = Event(
    9204,
    logging.WARNING,
    'The platform did not accept a usage report; it will be sent again',
    "check that the reporting instance can reach the platform's address",
)
USAGE_REFUSED: Final = Event(
    9205,
    logging.ERROR,
    'The platform permanently rejected the usage of a window',
    "compare the window's record in the store with the platform's",
)
USAGE_UNKNOWN: Final = Event(
    9206,
    logging.WARNING,
    'No instance has the counts of a usage window; it is not reported',
    'find the requests of that window in the logs of the entries',
)
SCALE_ORDERED: Final = Event(
    9210,
    logging.INFO,
    'Upstreams of a service were ordered in an availability zone',
)
SCALE_FAILED: Final = Event(
    9211,
    logging.WARNING,
    'The platform did not accept an order of upstreams',
    'if this lasts, ask the platform for capacity; other zones are tried',
)
SPOT_RECLAIMED: Final = Event(
    9220,
    logging.INFO,
    "A zone's spot upstreams are reclaimed; none are ordered for a while",
)
ORDER_NOT_EXECUTED: Final = Event(
    9221,
    logging.WARNING,
    'No upstream of an accepted order has come; it is repeated later',
    'if this lasts, ask the platform why; other zones are tried meanwhile',
)
