"""Events of jobs and of orders to samplers: 9000 to 9199."""

import logging
from typing import Final

from guavagate.events._event import Event

ACCEPTED: Final = Event(9001, logging.INFO, 'A job was accepted')
REFUSED: Final = Event(
    9002,
    logging.WARNING,
    'A job was refused; none of its items run',
    'see the reason; the trainer submits the job again',
)
ACCEPTANCE_UNKNOWN: Final = Event(
    9003,
    logging.WARNING,
    'It is unknown whether a job was accepted',
    'none; the trainer retries, and an id is accepted only once',
)
ENDED: Final = Event(9004, logging.INFO, 'The trainer ended a job')
OWNED: Final = Event(
    9005, logging.INFO, 'This instance started to work on a job'
)
REMOVED: Final = Event(
    9007, logging.INFO, 'A job was removed after its retention time'
)
ITEM_STARTED: Final = Event(9010, logging.INFO, 'An item started on a sampler')
ITEM_INTERRUPTED: Final = Event(
    9011,
    logging.INFO,
    'An item was interrupted and will resume on another sampler',
)
ITEM_DONE: Final = Event(9012, logging.INFO, 'An item is complete')
RESULTS_COMMITTED: Final = Event(9013, logging.INFO, 'Results were committed')
RESULTS_ADOPTED: Final = Event(
    9014,
    logging.WARNING,
    'Another instance committed results first; they were adopted',
)
COMMIT_FAILED: Final = Event(
    9015,
    logging.WARNING,
    'Results could not be committed; this will be retried',
    'check that the store responds',
)
ITEM_MOVED: Final = Event(
    9017, logging.INFO, 'An item moves to a faster sampler'
)
TEXT_COMPLETE: Final = Event(
    9018, logging.INFO, 'A text is complete; its reward is requested next'
)
REWARD_RECEIVED: Final = Event(
    9019, logging.INFO, 'A reward was received for a text'
)
REWARD_FAILED: Final = Event(
    9020,
    logging.WARNING,
    'A reward request failed; it is retried up to the failure limit',
    'check the upstreams of the route in the reward request',
)
REWARD_WITHOUT_ROUTE: Final = Event(
    9021,
    logging.WARNING,
    'A reward request matches no route and waits until one does',
    'compare its host and path with the configuration in force',
)
FORMER_SERVICE_GIVEN_UP: Final = Event(
    9028,
    logging.INFO,
    'A service without job routes has no open jobs left and loses its owner',
)
FOREIGN_JOB_IGNORED: Final = Event(
    9029,
    logging.INFO,
    'A job of another service was asked for; this owner does not work on it',
)
GROUP_DEFERRED: Final = Event(
    9022,
    logging.INFO,
    'A group cannot finish in time and was deferred behind others',
    'if this lasts, add samplers or run fewer trainers at once',
)
SAMPLER_STALLED: Final = Event(
    9023,
    logging.WARNING,
    'All streams of a sampler stalled; their texts resume elsewhere',
    'if it does not recover, check the sampler and its connection',
)
SAMPLER_RECOVERED: Final = Event(
    9024, logging.INFO, 'An unresponsive sampler responds again or was removed'
)
SNAPSHOT_FAILED: Final = Event(
    9025,
    logging.WARNING,
    'Partial texts cannot be saved to disk; work continues without them',
    'check the free space and the permissions of the data folder',
)
MEMORY_FULL: Final = Event(
    9030,
    logging.INFO,
    'An item waits, as no sampler has engine memory for its expected length',
    'if this lasts, add samplers or compare the configured memory with theirs',
)
TEXT_ALONE: Final = Event(
    9031,
    logging.INFO,
    "A text larger than an engine's whole memory starts on an empty sampler",
)
ESTIMATES_JUDGED: Final = Event(
    9032,
    logging.INFO,
    "A model's length estimates are used again, or worse than the usual length",
    'if `useful` stays false, check what the trainer sends as estimates',
)
JOB_ANNOUNCED: Final = Event(
    9040, logging.INFO, 'The entry that accepted a job announced it'
)
OWNER_PROBED: Final = Event(
    9041, logging.INFO, 'An owner sent no heartbeats and was probed'
)
JOBS_TAKEN_OVER: Final = Event(
    9042,
    logging.WARNING,
    'The owner is lost; its successor works on the jobs until it returns',
    'check the machine of the owner and its connections',
)
JOBS_RETURNED: Final = Event(
    9043, logging.INFO, 'The owner works again and gets its jobs back'
)
TEXTS_ADOPTED: Final = Event(
    9044,
    logging.INFO,
    'The owner adopted texts that its successor generated in its place',
)
COORDINATOR_STARTED: Final = Event(
    9100, logging.INFO, 'This instance coordinates the samplers of a service'
)
COORDINATOR_STOPPED: Final = Event(
    9101,
    logging.INFO,
    'This instance no longer coordinates the samplers of a service',
)
LEASE_ACQUIRED: Final = Event(
    9102, logging.INFO, 'The lease for orders was acquired'
)
LEASE_LOST: Final = Event(
    9103,
    logging.WARNING,
    'Another instance holds the lease for orders',
)
VERSION_PUBLISHED: Final = Event(
    9104, logging.INFO, 'A trainer published a version'
)
ORDER_SENT: Final = Event(
    9105, logging.INFO, 'A sampler was ordered to load a version'
)
ORDER_FAILED: Final = Event(
    9106,
    logging.WARNING,
    'An order to a sampler failed; a new order will be planned',
    'if this repeats, check the sampler',
)
VERSION_LOADED: Final = Event(
    9107, logging.INFO, 'A sampler has loaded a version'
)
SAMPLER_BORROWED: Final = Event(
    9109, logging.INFO, 'An idle sampler was borrowed for another model'
)
SAMPLERS_ASSIGNED: Final = Event(
    9108, logging.INFO, 'Samplers were assigned to the models'
)
ASSIGNMENT_RECOVERED: Final = Event(
    9110,
    logging.INFO,
    "The former owner's assignment was recovered from the loaded versions",
)
ITEM_MOVED_OFF: Final = Event(
    9112,
    logging.INFO,
    'An item moves off a sampler that leaves before the item could end',
)
SAMPLER_MOVES_DELAYED: Final = Event(
    9111,
    logging.INFO,
    'Further samplers move between models later, as each move costs a load',
)
