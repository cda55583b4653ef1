"""Names of the weight store protocol."""

from typing import Final

PATH_WEIGHTS: Final = '/v1/weights'
