"""The weight stores' protocol, as it is on the wire."""

import msgspec


class WeightEntry(msgspec.Struct):
    """What ``GET …/{version}/entry`` answers."""

    size: int
    fetches_per_second: float = 0
