"""Events of the warm-up of upstreams: 8065 to 8069."""

import logging
from typing import Final

from guavagate.events._event import Event

UPSTREAM_COLD: Final = Event(
    8065,
    logging.INFO,
    'An upstream counts as cold; it gets few requests per second',
)
UPSTREAM_WARM: Final = Event(
    8066, logging.INFO, 'An upstream no longer counts as cold'
)
ONLY_COLD_LEFT: Final = Event(
    8067,
    logging.WARNING,
    'A request was refused, as no upstream may take it during the warm-up',
    'if this lasts, add upstreams or compare the rate with their start times',
)
HOLDER_SILENT: Final = Event(
    8068,
    logging.WARNING,
    'The holder of a start budget did not answer; cold upstreams get nothing',
    'check the holder, and the links between it and this instance',
)
