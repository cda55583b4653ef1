"""Messages between instances: the seam that tests replace.

A component registers a handler for each message kind and sends requests or
one-way messages by instance id. `guavagate.links` never retries by itself:
whoever asked knows whether asking again is safe.
"""

from guavagate.links._bus import Bus, Handler, Message, expect
from guavagate.links._zmq_bus import ZmqBus

__all__ = ('Bus', 'Handler', 'Message', 'ZmqBus', 'expect')
