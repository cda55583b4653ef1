"""Events of the teams' settings and their distribution: 4000 to 4999."""

import logging
from typing import Final

from guavagate.events._event import Event

IN_FORCE: Final = Event(4001, logging.INFO, 'Settings are in force')
UNREADABLE: Final = Event(
    4002,
    logging.ERROR,
    'This release cannot read accepted settings; earlier ones stay in use',
    'upgrade this instance to the release the settings were written for',
)
WATCH_FAILED: Final = Event(
    4003,
    logging.WARNING,
    'Settings cannot be read from the store; peers still send them',
    'check the object API; the instance needs no action',
)
RESTORED: Final = Event(
    4004,
    logging.WARNING,
    'The store had lost accepted settings; they were written back',
    'ask the platform why the object API returned to older data',
)
NOT_LOADED: Final = Event(
    4005,
    logging.WARNING,
    'The settings are not loaded yet; the instance is not ready',
    'start the object API or any instance that has the settings',
)
LOADED: Final = Event(4006, logging.INFO, 'The settings are loaded')
RELAY_STARTED: Final = Event(
    4007,
    logging.INFO,
    'This instance watches the settings for its availability zone',
)
RELAY_STOPPED: Final = Event(
    4008,
    logging.INFO,
    'Another instance watches the settings for the availability zone',
)
CHANGED: Final = Event(4009, logging.INFO, 'A change of settings was accepted')
INVALID_RECORD: Final = Event(
    4010,
    logging.ERROR,
    'An object in the store is not a valid settings record; it is ignored',
    'delete the object, then apply the settings with `guavagate settings`',
)
WATCH_RECOVERED: Final = Event(
    4011, logging.INFO, 'Settings can be read from the store again'
)
APPLY_FAILED: Final = Event(
    4012,
    logging.ERROR,
    'A component of this instance failed to apply settings in force',
    'replace the instance and report it with the surrounding log lines',
)
