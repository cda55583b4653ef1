"""Events of the callers', trainers' and operators' edge: 5000."""

import logging

from guavagate.events._event import Event

UNEXPECTED_ERROR = Event(
    5001,
    logging.ERROR,
    'a request met an error of our own',
    'report it with the log lines around it',
)
REQUEST_REFUSED = Event(5011, logging.INFO, 'request refused')
REQUEST_ANSWERED = Event(5012, logging.INFO, 'request answered')
CALLER_DISCONNECTED = Event(
    5013, logging.INFO, 'caller gone, upstream work cancelled'
)
SETTINGS_RELOADED = Event(
    5040, logging.INFO, "The instance's own settings were read again"
)
SETTINGS_NEED_RESTART = Event(
    5042,
    logging.WARNING,
    "The instance's own settings are read at its start only",
    'restart the instance to have it use the changed file',
)
SETTINGS_UNREADABLE = Event(
    5041,
    logging.WARNING,
    "The instance's own settings can not be read; the former ones stay",
    'correct the file and send SIGHUP again',
)
REFUSED_UNCONFIGURED = Event(
    5014,
    logging.WARNING,
    'A request was refused as no configuration is known here yet',
    'check that the store or another instance is reached if this lasts',
)
KEY_DENIED = Event(
    5015,
    logging.INFO,
    'A request was denied for its key',
    'a caller whose key was taken away, or was never given, needs a new one',
)
REFUSED_UNPROVEN = Event(
    5016,
    logging.WARNING,
    'A request was refused as the configuration here may be an old one',
    'check that the store or a relay is reached from here if this lasts',
)
EDGE_LISTENING = Event(5020, logging.INFO, 'edge listens')
STOP_PROGRESS = Event(5030, logging.INFO, 'planned stop')
DRAIN_REQUESTED = Event(
    5031, logging.INFO, 'an operator has asked for a planned stop'
)
