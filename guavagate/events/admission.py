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
