"""Names and limits of the model engine protocol."""

from typing import Final

PATH_COMPLETIONS: Final = '/v1/completions'
PATH_CANCEL: Final = '/cancel/'
PATH_REPORT: Final = '/report'
PATH_ORDERS: Final = '/orders'
PATH_CACHE_EVENTS: Final = '/cache/events?since='

# Each event is one data line, followed by an empty line.
EVENT_END: Final = b'\n\n'
DATA_PREFIX: Final = b'data: '
DONE_MARKER: Final = b'[DONE]'

CANCEL_TIMEOUT_SECONDS: Final = 2.0
DRAIN_TIMEOUT_SECONDS: Final = 0.2

# Engines identify a cached prefix by a digest over complete prompt blocks.
PREFIX_BLOCK_CHARS: Final = 64
