"""Events of pages of results and their caches: 8075 to 8079."""

import logging
from typing import Final

from guavagate.events._event import Event

CACHE_SILENT: Final = Event(
    8075,
    logging.INFO,
    'The instance that caches results for this zone sent none',
    'nothing, unless it lasts: pages then come whole from the job owner',
)
