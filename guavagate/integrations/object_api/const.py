"""Names and figures of the object API's protocol."""

from typing import Final

HEADER_VERSION: Final = 'X-Version'
HEADER_EXPECTED: Final = 'X-Expected-Version'
HEADER_RETRY_AFTER: Final = 'Retry-After'

# What the platform gives to the whole fleet, less a fifth that covers the
# instances that differ on how many they are.
FLEET_READS_PER_SECOND: Final = 1600.0
FLEET_WRITES_PER_SECOND: Final = 240.0
MIN_FLEET_SIZE: Final = 9

# It answers in milliseconds; one that takes longer is slow, and a call is
# given up before the caller's own limits are.
CALL_SECONDS: Final = 2.0
DEADLINE_SECONDS: Final = 5.0
