"""Events of partitions and of the ledger: numbers from 2000."""

import logging
from typing import Final

from guavagate.events._event import Event

TAKEN_OVER: Final = Event(
    2001,
    logging.INFO,
    'This instance decides for a partition from now on',
)
RELEASED: Final = Event(
    2002,
    logging.INFO,
    'A partition was let go of, for another instance to take',
)
TAKEOVER_FAILED: Final = Event(
    2003,
    logging.WARNING,
    'A partition could not be taken over and will be tried again',
    'check that the object API answers, and that its record is whole',
)
SUPERSEDED: Final = Event(
    2004,
    logging.WARNING,
    'Another instance has gone on with a partition that was decided here',
    'none; if it repeats, find out why the instances lose sight of each other',
)
BLOB_NOT_DELETED: Final = Event(
    2005,
    logging.WARNING,
    'A part of a partition that is not needed any more stays in the store',
    'none; the next holder of the partition deletes it',
)
