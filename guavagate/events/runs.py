"""Events of runs and weights: 6000."""

import logging

from guavagate.events._event import Event

SAMPLE_STARTED = Event(6001, logging.DEBUG, 'sample generation starts')
SAMPLE_RECORDED = Event(6002, logging.INFO, 'sample entered')
SAMPLE_FAILED = Event(
    6003, logging.WARNING, 'sample generation failed, it is assigned anew'
)
SAMPLE_ASSIGNED = Event(6004, logging.INFO, 'sample assigned to a worker')
WORKER_LOST = Event(
    6006, logging.WARNING, 'worker lost, its samples are assigned anew'
)
VERSION_PUBLISHED = Event(6010, logging.INFO, 'version published')
STEP_SUBMITTED = Event(6011, logging.INFO, 'step submitted')
BATCH_DELIVERED = Event(6012, logging.INFO, 'batch handed out')
SWAP_ORDERED = Event(6020, logging.INFO, 'sampler ordered to change weights')
SWAP_CONFIRMED = Event(6021, logging.INFO, 'sampler reports the target weights')
SWAP_FAILED = Event(
    6022,
    logging.WARNING,
    'a weight order failed, it is repeated',
    'check the sampler and the weight store',
)
ORDER_WITHHELD = Event(
    6023, logging.WARNING, 'order withheld, another instance may decide'
)
