"""Events of jobs and of orders to samplers: 9000 to 9999."""

import logging
from typing import Final

from guavagate.events._event import Event

ACCEPTED: Final = Event(9001, logging.INFO, 'A job was accepted')
REFUSED: Final = Event(
    9002,
    logging.WARNING,
    'A job was refused; nothing of it runs',
    'the reason says what was missing; the trainer sends it again',
)
ACCEPTANCE_UNKNOWN: Final = Event(
    9003,
    logging.WARNING,
    'Whether a job was accepted is not known',
    'the trainer sends it again; the same id is accepted once',
)
ENDED: Final = Event(9004, logging.INFO, 'A job was ended by its trainer')
OWNED: Final = Event(9005, logging.INFO, 'This instance works on a job')
REMOVED: Final = Event(
    9007, logging.INFO, 'A job was removed; its time to be read is over'
)
ITEM_STARTED: Final = Event(9010, logging.INFO, 'An item started')
ITEM_INTERRUPTED: Final = Event(
    9011, logging.INFO, 'An item broke off and will go on elsewhere'
)
ITEM_DONE: Final = Event(9012, logging.INFO, 'An item is done')
RESULTS_COMMITTED: Final = Event(9013, logging.INFO, 'Results were listed')
RESULTS_ADOPTED: Final = Event(
    9014,
    logging.WARNING,
    'Another instance had listed results first; they are taken over',
)
COMMIT_FAILED: Final = Event(
    9015,
    logging.WARNING,
    'Results could not be listed and will be tried again',
    'check that the store answers',
)
ITEM_MOVED: Final = Event(
    9017, logging.INFO, 'An item goes on at a faster sampler'
)
TEXT_COMPLETE: Final = Event(
    9018, logging.INFO, 'A text is whole; its reward is asked for next'
)
REWARD_RECEIVED: Final = Event(9019, logging.INFO, 'A text got its reward')
REWARD_FAILED: Final = Event(
    9020,
    logging.WARNING,
    'A reward request failed; it is sent again unless it was given up',
    'check the upstreams of the route that the reward request names',
)
REWARD_WITHOUT_ROUTE: Final = Event(
    9021,
    logging.WARNING,
    'A reward request has no route; the text waits for one',
    'check the host and path against the configuration in force',
)
GROUP_DEFERRED: Final = Event(
    9022,
    logging.INFO,
    'A group can not be in time beside the others and goes behind them',
    'more samplers, or fewer trainers at once, if this goes on',
)
SAMPLER_STALLED: Final = Event(
    9023,
    logging.WARNING,
    'All streams of a sampler are silent; their texts go on elsewhere',
    'check the sampler and its link if it does not answer again',
)
SAMPLER_RECOVERED: Final = Event(
    9024, logging.INFO, 'A sampler that was silent answers, or has left'
)
SNAPSHOT_FAILED: Final = Event(
    9025,
    logging.WARNING,
    'Texts in the making can not be kept on this disk; work goes on without',
    'check the data folder: its room, and whether it can be written',
)
COORDINATOR_STARTED: Final = Event(
    9100, logging.INFO, 'This instance coordinates the samplers of a service'
)
COORDINATOR_STOPPED: Final = Event(
    9101, logging.INFO, 'This instance no longer coordinates a service'
)
LEASE_ACQUIRED: Final = Event(
    9102, logging.INFO, 'The lease for orders was taken'
)
LEASE_LOST: Final = Event(
    9103,
    logging.WARNING,
    'The lease for orders is held by another instance',
)
VERSION_PUBLISHED: Final = Event(
    9104, logging.INFO, 'A trainer has named a version'
)
ORDER_SENT: Final = Event(
    9105, logging.INFO, 'A sampler was ordered to a version'
)
ORDER_FAILED: Final = Event(
    9106,
    logging.WARNING,
    'An order to a sampler failed and will be looked at again',
    'check the sampler if this repeats',
)
VERSION_LOADED: Final = Event(9107, logging.INFO, 'A sampler serves a version')
SAMPLER_BORROWED: Final = Event(
    9109, logging.INFO, 'An idle sampler helps with one more model'
)
SAMPLERS_ASSIGNED: Final = Event(
    9108, logging.INFO, 'Samplers were dealt out to the models'
)
