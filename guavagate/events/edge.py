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
CALLER_GONE = Event(5013, logging.INFO, 'caller gone, upstream work cancelled')
EDGE_LISTENING = Event(5020, logging.INFO, 'edge listens')
STOP_PROGRESS = Event(5030, logging.INFO, 'planned stop')
DRAIN_ASKED = Event(
    5031, logging.INFO, 'an operator has asked for a planned stop'
)
