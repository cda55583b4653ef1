"""Events of requests that are bound to regions: 8070 to 8074."""

import logging
from typing import Final

from guavagate.events._event import Event

REQUEST_OUTSIDE_REGIONS: Final = Event(
    8070,
    logging.WARNING,
    'A request was refused: no upstream is inside its regions',
    'compare the regions of route and team with the zones of the upstreams',
)
JOB_OUTSIDE_REGIONS: Final = Event(
    8071,
    logging.WARNING,
    'A job was refused for its regions; none of its items run',
    "see the reason, and compare the regions of the service's routes and teams",
)
ITEMS_MOVED_INSIDE: Final = Event(
    8072,
    logging.INFO,
    'Items run outside the regions of their job; they resume inside',
)
JOB_NOT_HELD: Final = Event(
    8073,
    logging.WARNING,
    'A job is not worked on, as its regions exclude the owner',
    'give the routes and teams of the service a region in common',
)
UNKNOWN_REGIONS: Final = Event(
    8074,
    logging.WARNING,
    'Regions or zones are unknown here; bound requests do not use them',
    'compare the configuration with the zones in the settings',
)
