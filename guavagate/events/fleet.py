"""Events of membership, links and the object API: 3000 to 3999."""

import logging
from typing import Final

from guavagate.events._event import Event

MEMBER_ALIVE: Final = Event(
    3001, logging.INFO, 'An instance is alive and can receive work'
)
MEMBER_SUSPECT: Final = Event(
    3002,
    logging.INFO,
    'An instance does not respond; if this lasts, it is declared dead',
)
MEMBER_DEAD: Final = Event(
    3003,
    logging.WARNING,
    'An instance was declared dead and receives no work',
    'if the platform does not replace it, see operators/lost-instance.md',
)
MEMBER_LEAVING: Final = Event(
    3004, logging.INFO, 'An instance is leaving and receives no new work'
)
MEMBER_RESTARTED: Final = Event(
    3005, logging.INFO, 'An instance has restarted under the same id'
)
SUPERSEDED: Final = Event(
    3006,
    logging.ERROR,
    'A newer process has the same instance id; this one is not ready',
    'stop this process, or give it a unique id',
)
RESUMED: Final = Event(
    3011,
    logging.WARNING,
    'The newer process with the same instance id has ended; this one works',
    'if both are to run, give each a unique id',
)
ISOLATED: Final = Event(
    3007,
    logging.WARNING,
    'No messages arrive from other instances',
    'check this instance, its network and the cluster credential',
)
ISOLATION_ENDED: Final = Event(
    3008, logging.INFO, 'Messages from other instances arrive again'
)
PROCESS_PAUSED: Final = Event(
    3009,
    logging.WARNING,
    'This process was paused or blocked',
    'if this repeats, give the instance more CPU time',
)
MEMBER_LEFT: Final = Event(
    3010, logging.INFO, 'An instance has left after its planned stop'
)
LINK_STALLED: Final = Event(
    3101,
    logging.WARNING,
    'A connection to a peer stalled and was replaced by a new one',
    'if this repeats, see operators/silent-connection.md',
)
LINK_SLOW: Final = Event(
    3102,
    logging.INFO,
    'A peer does not respond in time on a new connection either',
)
FRAME_DROPPED: Final = Event(
    3103,
    logging.WARNING,
    'A frame that could not be decoded was dropped',
    'check that only guavagate instances connect to the peer address',
)
HANDLER_FAILED: Final = Event(
    3104,
    logging.ERROR,
    'A message handler failed unexpectedly',
    'report the traceback that follows',
)
STORE_DOWN: Final = Event(
    3201,
    logging.WARNING,
    'The object API is unavailable; calls fail at once until it recovers',
    'see operators/store-outage.md; requests are still served',
)
STORE_UP: Final = Event(3202, logging.INFO, 'The object API is available again')
STORE_STALE: Final = Event(
    3203,
    logging.WARNING,
    'The object API returned stale data, which was rejected',
    'if this lasts, report it to the platform; stale data is never applied',
)
