"""Constants of refusals."""

from typing import Final

# An accepted configuration is in force everywhere within this time. Until then
# a request whose bounds contradict each other would be refused again.
OUTSIDE_RETRY_SECONDS: Final = 2.0
