"""Events of forwarding, upstreams and the configuration feed: 8000 to 8999."""

import logging
from typing import Final

from guavagate.events._event import Event

CONFIGURATION_IN_FORCE: Final = Event(
    8001, logging.INFO, 'A configuration version is in force on this instance'
)
UPSTREAM_IN_USE: Final = Event(8002, logging.INFO, 'An upstream is in use')
UPSTREAM_LEAVING: Final = Event(
    8003, logging.INFO, 'An upstream is leaving and receives no new work'
)
UPSTREAM_GONE: Final = Event(8004, logging.INFO, 'An upstream was removed')
UPSTREAM_EJECTED: Final = Event(
    8005,
    logging.WARNING,
    'An upstream failed repeatedly and receives no work for a while',
    'if this repeats, check the upstream',
)
FORWARDED: Final = Event(8010, logging.INFO, 'A request was answered')
ATTEMPT_FAILED: Final = Event(
    8011, logging.INFO, 'An attempt to send a request to an upstream failed'
)
FOREIGN_BYTES: Final = Event(
    8014,
    logging.WARNING,
    'An upstream sent bytes that are no event within a stream',
    'check the upstream; the bytes were left out',
)
REQUEST_GIVEN_UP: Final = Event(
    8012,
    logging.WARNING,
    'A request ended without an answer from an upstream',
    'see the reason, and search the logs for the upstream',
)
CALLER_DISCONNECTED: Final = Event(
    8013,
    logging.INFO,
    'A caller disconnected before its request was answered',
)
MIRROR_STALE: Final = Event(
    8020,
    logging.WARNING,
    'A mirror of the store is no longer up to date',
    'if this lasts, see operators/store-outage.md',
)
MIRROR_RECOVERED: Final = Event(
    8021, logging.INFO, 'A mirror of the store is up to date again'
)
UPSTREAM_RESTARTED: Final = Event(
    8027, logging.INFO, 'An upstream has restarted under the same id'
)
OBJECT_UNREADABLE: Final = Event(
    8022,
    logging.ERROR,
    'An object in the store cannot be read and is not used',
    'correct the object, or upgrade guavagate to a release that supports it',
)
STORE_THROUGH_PEER: Final = Event(
    8023,
    logging.WARNING,
    'The store is unreachable from here; calls go through a peer',
    'check the connection from this instance to the store',
)
STORE_DIRECT: Final = Event(
    8026, logging.INFO, 'The store is reachable directly again'
)
FEED_FROM_STORE: Final = Event(
    8024, logging.INFO, 'This instance watches the store directly'
)
FEED_FROM_RELAYS: Final = Event(
    8025,
    logging.INFO,
    'This instance receives the configuration from the relays',
)
UPSTREAM_ENDED: Final = Event(
    8031,
    logging.WARNING,
    'An upstream ended while it ran a request',
    'compare `content` with that of other requests under which one ended',
)
UPSTREAM_FOUND_ENDED: Final = Event(
    8035,
    logging.INFO,
    'An instance found that an upstream ended; it receives no work for a while',
)
REQUEST_STOPPED: Final = Event(
    8032,
    logging.WARNING,
    'A request ended several upstreams; it is sent to no upstream any more',
    'search the logs for its content; remove its record to let it run again',
)
REQUEST_RELEASED: Final = Event(
    8033,
    logging.INFO,
    'The record of a stopped request was removed; the request may run again',
)
TOO_MANY_CULPRITS: Final = Event(
    8034,
    logging.ERROR,
    'Many requests seem to end upstreams; no further ones are stopped',
    'check the upstreams: they may crash whatever they run',
)
READINESS_CHANGED: Final = Event(
    8030, logging.INFO, 'The readiness of this instance changed'
)
SERVICE_UNRESPONSIVE: Final = Event(
    8040,
    logging.WARNING,
    'No upstream of a service answers a probe; its requests are refused',
    'check the upstreams and the way to them; GG8041 follows when one answers',
)
SERVICE_RESPONSIVE: Final = Event(
    8041, logging.INFO, 'An upstream of an unresponsive service answers again'
)
OUTAGE_CONFIRMED: Final = Event(
    8042,
    logging.INFO,
    'A service that another instance found unresponsive does not answer here',
)
OUTAGE_REFUTED: Final = Event(
    8043,
    logging.WARNING,
    'A service that another instance found unresponsive answers here',
    "check the way from the instance `finder` to the service's upstreams",
)
