"""Events of routing and placement: 1000 to 1999."""

import logging
from typing import Final

from guavagate.events._event import Event

DECIDED: Final = Event(1000, logging.INFO, 'decided')
