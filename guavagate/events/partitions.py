"""Events of partitions and of the ledger: numbers from 2000."""

import logging
from typing import Final

from guavagate.events._event import Event

TAKEOVER: Final = Event(
    2001,
    logging.INFO,
    'A partition without a primary was looked at',
    'none; if it repeats, check that the object API and the members answer',
)
REGROUPED: Final = Event(
    2002,
    logging.INFO,
    'A partition was given to other instances',
)
FAILED: Final = Event(
    2003,
    logging.WARNING,
    'Work on a partition failed and will be tried again',
    'check that the object API answers',
)
WOKE: Final = Event(
    2004,
    logging.WARNING,
    'This process was paused and reads the views again before it answers',
    'find out why the process was not scheduled',
)
NOT_A_VIEW: Final = Event(
    2005,
    logging.ERROR,
    'An object under views/ holds no view',
    'write back its earlier value; its partition can not change hands',
)
