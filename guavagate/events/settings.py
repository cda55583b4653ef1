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
RESTORED: Final = Event(
    4004,
    logging.WARNING,
    'the store had lost accepted settings; they have been written back',
    'ask the platform why the object API went back to an old copy',
)
NOT_LOADED: Final = Event(
    4005,
    logging.WARNING,
    'the settings are not known yet; the instance is not ready',
    'start the object API or any instance that has the settings',
)
LOADED: Final = Event(4006, logging.INFO, 'the settings are known')
RELAY_STARTED: Final = Event(
    4007,
    logging.INFO,
    "this instance holds its availability zone's watch of the settings",
)
RELAY_STOPPED: Final = Event(
    4008,
    logging.INFO,
    "another instance holds the availability zone's watch of the settings",
)
CHANGED: Final = Event(4009, logging.INFO, 'a change of settings is accepted')
INVALID_RECORD: Final = Event(
    4010,
    logging.ERROR,
    'an object of the store is no settings record; it is passed over',
    'delete the object, then apply the settings with `guavagate settings`',
)
WATCH_RECOVERED: Final = Event(
    4011, logging.INFO, 'the settings can be read from the store again'
)
APPLY_FAILED: Final = Event(
    4012,
    logging.ERROR,
    'a part of this instance failed to take settings that are in force',
    'replace the instance, and report it with the log lines around it',
)
