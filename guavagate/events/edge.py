"""Events of the HTTP edge for callers, trainers and operators: 5000 to 5999."""

import logging

from guavagate.events._event import Event

UNEXPECTED_ERROR = Event(
    5001,
    logging.ERROR,
    'A request failed with an unexpected internal error',
    'report it with the surrounding log lines',
)
REQUEST_REFUSED = Event(5011, logging.INFO, 'A request was refused')
REQUEST_ANSWERED = Event(5012, logging.INFO, 'A request was answered')
CALLER_DISCONNECTED = Event(
    5013, logging.INFO, 'A caller disconnected; its upstream work was cancelled'
)
REQUEST_CUT = Event(
    5017,
    logging.WARNING,
    'A request was still running when the time of the planned stop ended',
    'if this repeats, raise the grace period, or look for slow callers',
)
SETTINGS_RELOADED = Event(
    5040, logging.INFO, "The instance's settings file was reloaded"
)
SETTINGS_NEED_RESTART = Event(
    5042,
    logging.WARNING,
    "The instance's settings file was not reloaded: this needs a restart",
    'restart the instance to apply the changed file',
)
SETTINGS_UNREADABLE = Event(
    5041,
    logging.WARNING,
    "The instance's settings file is invalid; earlier settings stay in use",
    'correct the file and send SIGHUP again',
)
REFUSED_UNCONFIGURED = Event(
    5014,
    logging.WARNING,
    'A request was refused: this instance has no configuration yet',
    'if this lasts, check that the store or another instance is reachable',
)
KEY_DENIED = Event(
    5015,
    logging.INFO,
    'A request was denied because of its key',
    'see the reason; if the caller should have access, check its key',
)
REFUSED_UNPROVEN = Event(
    5016,
    logging.WARNING,
    'A request was refused: the configuration may be out of date',
    'if this lasts, check that the store or a relay is reachable',
)
EDGE_LISTENING = Event(5020, logging.INFO, 'The HTTP edge accepts connections')
STOP_PROGRESS = Event(
    5030, logging.INFO, 'A planned stop reached another phase'
)
DRAIN_REQUESTED = Event(
    5031, logging.INFO, 'An operator requested a planned stop'
)
