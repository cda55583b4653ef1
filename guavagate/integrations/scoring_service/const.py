"""Names of the scoring services' protocol."""

from typing import Final

PATH_SCORE: Final = '/v1/score'
