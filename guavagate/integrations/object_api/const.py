"""Names and limits of the object API protocol."""

from typing import Final

HEADER_VERSION: Final = 'X-Version'
HEADER_EXPECTED: Final = 'X-Expected-Version'
HEADER_RETRY_AFTER: Final = 'Retry-After'

# The rates that the platform grants the fleet, less a fifth, because instances
# may disagree on the fleet's size.
FLEET_READS_PER_SECOND: Final = 1600.0
FLEET_WRITES_PER_SECOND: Final = 240.0
MIN_FLEET_SIZE: Final = 9

# The platform answers in milliseconds. Calls time out before the deadlines of
# their callers.
CALL_SECONDS: Final = 2.0
DEADLINE_SECONDS: Final = 5.0
