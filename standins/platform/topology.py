"""Zones and regions of the soak test, and the bounds that its settings name."""

from typing import Final

# The region of each zone, as in the settings of each process.
REGION_OF: Final = {'z1': 'r1', 'z2': 'r1', 'z3': 'r2'}
ZONES: Final = tuple(REGION_OF)
HOME_ZONE: Final = ZONES[0]
BOUND_REGION: Final = 'r1'
EVACUATE_SECONDS: Final = 5.0
COLD_PER_SECOND: Final = 4.0
COLD_START_SECONDS: Final = 3.0
COLD_EXCESS: Final = 1.5
COLD_SLACK: Final = 2.0
# A cold sampler receives at most this many requests in a second.
COLD_LIMIT: Final = int(COLD_PER_SECOND * COLD_EXCESS + COLD_SLACK)
# Requests and items whose names begin with it use a route with regions.
_BOUND_PREFIX: Final = 'near-'


def pick_zone(number: int) -> str:
    """Return the zone of a process or sampler by its number."""
    return ZONES[number % len(ZONES)]


def make_bound_name(name: str) -> str:
    """Return the name of a request or item that may not leave the region."""
    return f'{_BOUND_PREFIX}{name}'


def is_bound(name: str) -> bool:
    """Return whether a request or item may not leave the region."""
    return name.removeprefix('w-').startswith(_BOUND_PREFIX)
