"""Typed messages between instances; tests replace this interface.

A component registers a handler for each message kind and sends requests or
one-way messages by instance id. `guavagate.links` does not retry failed
requests: only the component that sent one knows whether a retry is safe.
"""

from guavagate.links._bus import Bus, Handler, Message, expect
from guavagate.links._message_traffic import MessageTraffic
from guavagate.links._watch import watch_messages
from guavagate.links._zmq_bus import ZmqBus

__all__ = (
    'Bus',
    'Handler',
    'Message',
    'MessageTraffic',
    'ZmqBus',
    'expect',
    'watch_messages',
)
