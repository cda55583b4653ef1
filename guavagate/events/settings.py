"""Events of the settings and their spread: 4000 to 4999."""

import logging
from typing import Final

from guavagate.events._event import Event

IN_FORCE: Final = Event(4001, logging.INFO, 'settings are in force')
UNREADABLE: Final = Event(
    4002,
    logging.ERROR,
    'accepted settings cannot be read by this release; the earlier ones stay',
    'replace this instance by the release that the settings were written for',
)
WATCH_FAILED: Final = Event(
    4003,
    logging.WARNING,
    'the settings could not be read from the store; peers still tell them',
    'check the object API; nothing is to be done on the instance',
)
