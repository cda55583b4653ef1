"""Interface to weight stores."""

from typing import Protocol

import msgspec

from guavagate.models import RunId, WeightVersion


class WeightObject(msgspec.Struct, frozen=True, kw_only=True):
    """A weight version in the store.

    Parameters
    ----------
    size
        Bytes.
    fetches_per_second
        The store's rate limit; 0 if it states none.
    """

    run: RunId
    version: WeightVersion
    size: int
    fetches_per_second: float = 0


class WeightStore(Protocol):
    """Looks up weight versions; engines fetch the weights themselves."""

    def find(
        self,
        address: str,
        run: RunId,
        version: WeightVersion,
        timeout: float,
    ) -> WeightObject | None:
        """Return the version's entry, or `None` if it is absent.

        Raises
        ------
        UpstreamError
            The store returned no usable answer.
        """
