"""Events of the evacuation of zones: 8060 to 8064."""

import logging
from typing import Final

from guavagate.events._event import Event

ZONE_EVACUATED: Final = Event(
    8060,
    logging.WARNING,
    'A zone is evacuated; its upstreams get nothing new from this instance',
)
ZONE_RETURNED: Final = Event(
    8061, logging.INFO, 'A zone is no longer evacuated'
)
UNKNOWN_ZONE_EVACUATED: Final = Event(
    8062,
    logging.WARNING,
    'A zone is evacuated that has neither upstreams nor instances',
    "compare the object's name with the names of the zones",
)
CAPACITY_REPLACED: Final = Event(
    8063,
    logging.INFO,
    'The upstreams of these zones are replaced in the other zones',
)
