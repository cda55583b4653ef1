"""Names of the weight stores' protocol."""

from typing import Final

PATH_WEIGHTS: Final = '/v1/weights'
