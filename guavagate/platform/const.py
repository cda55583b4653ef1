"""Names in the platform's protocol."""

from typing import Final

SETTINGS_VARIABLE: Final = 'GUAVAGATE_SETTINGS'

# Headers: in lower case those that are looked up, others as they are sent.
REQUEST_ID: Final = b'Guavagate-Request-Id'
INSTANCE: Final = b'Guavagate-Instance-Id'
DEADLINE: Final = b'Guavagate-Deadline-Ms'
TARGET: Final = b'Guavagate-Target-Instance'
NOT_RUN: Final = b'guavagate-not-executed'
SEAL: Final = b'guavagate-server-seal'
LOAD: Final = b'guavagate-server-load'
COLD: Final = b'guavagate-cold-ms'
VERSION: Final = b'guavagate-weight-versions'
LENGTH_HINT: Final = 'guavagate-length-hint'
TOKEN_COUNT: Final = 'guavagate-token-count'
PROMPT_PREFIX: Final = 'guavagate-prompt-prefix'
WAIT: Final = b'Guavagate-Wait-Ms'
RESUME: Final = b'Last-Event-Id'
AUTHORIZATION: Final = b'authorization'
TENANT: Final = b'Guavagate-Tenant'
USAGE_DUTY: Final = 'metering'
SCALE_DUTY: Final = 'autoscale'
DUTY_HOLDER: Final = b'Guavagate-Duty-Holder'
DUTY_FENCE: Final = b'Guavagate-Fence-Token'

SERVERS: Final = 'servers'
CONFIG: Final = 'config'
CONFIG_PATH: Final = 'config/main'
VERSIONS: Final = 'versions'
RETIREMENTS: Final = 'retirements'
EVACUATIONS: Final = 'evacuations'

# The deploy file gives the platform these values too.
METRICS_PORT: Final = 9464
METRICS_PATH: Final = '/metrics'

MILLIS: Final = 1000
BYTES_PER_MEGABIT: Final = 125_000

# Status of an instance that was retired and has handed over its work.
RETIRED: Final = {'state': 'completed'}
# A stale read costs a tenth of a normal one; its answer is not used.
PROBE_PATH: Final = '/objects/leases?stale-read=1'
