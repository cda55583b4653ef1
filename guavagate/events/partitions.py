"""Events of partitions and the ledger: 2000 to 2999."""

import logging
from typing import Final

from guavagate.events._event import Event

TAKEN_OVER: Final = Event(
    2001,
    logging.INFO,
    'This instance is now the primary of a partition',
)
RELEASED: Final = Event(
    2002,
    logging.INFO,
    'A partition was released so that another instance can take it over',
)
TAKEOVER_FAILED: Final = Event(
    2003,
    logging.WARNING,
    'Taking over a partition failed and will be retried',
    "check that the object API responds and the partition's record is valid",
)
SUPERSEDED: Final = Event(
    2004,
    logging.WARNING,
    'Another instance has taken over a partition from this instance',
    'if this repeats, find out why the instances lose contact',
)
BLOB_NOT_DELETED: Final = Event(
    2005,
    logging.WARNING,
    'An obsolete blob of a partition could not be deleted from the store',
    'none; the next primary of the partition deletes it',
)
