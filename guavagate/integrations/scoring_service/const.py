"""Names of the scoring service protocol."""

from typing import Final

PATH_SCORE: Final = '/v1/score'
