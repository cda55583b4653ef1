"""Names and defaults shared by several packages."""

from typing import Final

HEADER_IDEMPOTENCY_KEY: Final = 'Idempotency-Key'
HEADER_REQUEST_ID: Final = 'X-Request-Id'
HEADER_SAMPLER: Final = 'X-Guavagate-Sampler'
HEADER_VERSIONS: Final = 'X-Guavagate-Versions'
HEADER_DEADLINE: Final = 'X-Guavagate-Deadline-Ms'
HEADER_EXCHANGE: Final = 'X-Guavagate-Exchange'

ATTR_NOT_RUN: Final = 'not_run'

DEFAULT_PARTITIONS: Final = 32
