"""Events of the data folder: 7000."""

import logging
from typing import Final

from guavagate.events._event import Event

DISK_FAILED: Final = Event(
    7001,
    logging.WARNING,
    'the data folder failed, it is left alone for a minute',
    'free space or replace the disk; until then samples are made again',
)
RECORD_DAMAGED: Final = Event(
    7002,
    logging.WARNING,
    'a record of the data folder is damaged and dropped',
    'nothing, unless it happens often: then replace the disk',
)
SAMPLE_FOUND: Final = Event(
    7003, logging.INFO, 'a finished sample was found on disk'
)
