"""Messages of the weight store protocol."""

import msgspec


class WeightEntry(msgspec.Struct):
    """The response to ``GET …/{version}/entry``."""

    size: int
    fetches_per_second: float = 0
