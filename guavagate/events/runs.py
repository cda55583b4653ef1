"""Events of runs and weights: 6000 to 6999."""

import logging

from guavagate.events._event import Event

SAMPLE_STARTED = Event(6001, logging.DEBUG, 'Generation of a sample started')
SAMPLE_RECORDED = Event(
    6002, logging.INFO, 'A finished sample was submitted to its run'
)
SAMPLE_FAILED = Event(
    6003,
    logging.WARNING,
    'Generation of a sample failed; it will be reassigned',
)
SAMPLE_ASSIGNED = Event(6004, logging.INFO, 'A sample was assigned to a worker')
WORKER_LOST = Event(
    6006, logging.WARNING, 'A worker was lost; its samples will be reassigned'
)
VERSION_PUBLISHED = Event(6010, logging.INFO, 'A trainer published a version')
STEP_SUBMITTED = Event(6011, logging.INFO, 'A trainer submitted a step')
BATCH_DELIVERED = Event(
    6012, logging.INFO, 'A batch was delivered to a trainer'
)
SWAP_ORDERED = Event(
    6020, logging.INFO, 'A sampler was ordered to load other weights'
)
SWAP_CONFIRMED = Event(
    6021, logging.INFO, 'A sampler reports that it loaded other weights'
)
SWAP_FAILED = Event(
    6022,
    logging.WARNING,
    'A weight order failed and will be repeated',
    'check the sampler and the weight store',
)
ORDER_WITHHELD = Event(
    6023,
    logging.WARNING,
    'A weight order was withheld: another instance may be in charge',
)
