"""The weight store as the rest of guavagate sees it."""

from typing import Protocol

import msgspec

from guavagate.models import RunId, WeightVersion


class WeightObject(msgspec.Struct, frozen=True, kw_only=True):
    """What the store says of one version.

    Parameters
    ----------
    size
        Bytes.
    fetches_per_second
        The store's rate limit; 0 when it states none.
    """

    run: RunId
    version: WeightVersion
    size: int
    fetches_per_second: float = 0


class WeightStore(Protocol):
    """Tells whether a version is there; engines fetch by themselves."""

    def find(
        self,
        address: str,
        run: RunId,
        version: WeightVersion,
        timeout: float,
    ) -> WeightObject | None:
        """Return the version's entry, or nothing when it is not there.

        Raises
        ------
        UpstreamError
            The store gave no usable answer.
        """
